#include "Common/Identity.h"

#include <gtest/gtest.h>

#include "Common/Hash.h"

// Guards against identities in rows and messages that cannot be parsed back,
// and against accepting malformed ones.
TEST(Identity, IncarnationTextRoundTrips)
{
  const incarnation_id incarnation{ { "entry-1/a" }, 42 };
  EXPECT_EQ(ParseIncarnation(FormatIncarnation(incarnation)), incarnation);
  EXPECT_FALSE(ParseIncarnation("entry-1").has_value());
  EXPECT_FALSE(ParseIncarnation("entry-1/x").has_value());
}

// Guards against 128-bit identities that cannot be parsed back from their
// hexadecimal text.
TEST(Identity, WideTextRoundTrips)
{
  const request_id request = MakeRequestId({ "clinic" }, "key-1");
  EXPECT_EQ(ParseWide<request_tag>(FormatWide(request)), request);
  EXPECT_FALSE(ParseWide<request_tag>("12").has_value());
}

// Guards against two accounts getting the same request identity because they
// chose the same idempotency key, or because account name and key are joined
// ambiguously.
TEST(Identity, RequestIdentityDependsOnAccountAndKey)
{
  EXPECT_NE(MakeRequestId({ "a" }, "k"), MakeRequestId({ "b" }, "k"));
  EXPECT_NE(MakeRequestId({ "ab" }, "c"), MakeRequestId({ "a" }, "bc"));
}
