#include "Common/Identity.h"

#include <gtest/gtest.h>

#include "Common/Hash.h"

TEST(Identity, HolderTextRoundTrips)
{
  const holder_id holder{ { "entry-1/a" }, 42 };
  EXPECT_EQ(ParseHolder(FormatHolder(holder)), holder);
  EXPECT_FALSE(ParseHolder("entry-1").has_value());
  EXPECT_FALSE(ParseHolder("entry-1/x").has_value());
}

TEST(Identity, WideTextRoundTrips)
{
  const request_id request = MakeRequestId({ "clinic" }, "key-1");
  EXPECT_EQ(ParseWide<request_tag>(FormatWide(request)), request);
  EXPECT_FALSE(ParseWide<request_tag>("12").has_value());
}

// Guards against two accounts sharing an identity when they choose the same
// idempotency key, or when name and key run into each other.
TEST(Identity, RequestIdentityDependsOnAccountAndKey)
{
  EXPECT_NE(MakeRequestId({ "a" }, "k"), MakeRequestId({ "b" }, "k"));
  EXPECT_NE(MakeRequestId({ "ab" }, "c"), MakeRequestId({ "a" }, "bc"));
}
