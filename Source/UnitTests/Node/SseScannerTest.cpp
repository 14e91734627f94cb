#include "Node/SseScanner.h"

#include <gtest/gtest.h>

namespace {

constexpr const char* kText = "data: {\"choices\":[{\"delta\":{}}]}\n\n";
constexpr const char* kUsage =
  "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":7,"
  "\"completion_tokens\":5}}\n\n";
constexpr const char* kDone = "data: [DONE]\n\n";

} // namespace

// Guards against the end of a response being sent before its charge is
// protected.
TEST(SseScanner, HoldsBackUsageAndEnd)
{
  sse_scanner scanner;
  const std::string stream = std::string(kText) + kText + kUsage + kDone;
  EXPECT_EQ(scanner.Feed(stream), std::string(kText) + kText);
  EXPECT_EQ(scanner.HeldBack(), std::string(kUsage) + kDone);
  EXPECT_TRUE(scanner.DoneSeen());
  EXPECT_EQ(scanner.TokenEvents(), 2);
  ASSERT_TRUE(scanner.Usage().has_value());
  EXPECT_EQ(scanner.Usage()->Total(), 12);
}

// Guards against results that depend on where the stream is split into reads.
TEST(SseScanner, GivesTheSameForEverySplit)
{
  const std::string stream = std::string(kText) + kText + kUsage + kDone;
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    sse_scanner scanner;
    std::string forwarded = scanner.Feed(stream.substr(0, cut));
    forwarded += scanner.Feed(stream.substr(cut));
    EXPECT_EQ(forwarded, std::string(kText) + kText) << cut;
    EXPECT_EQ(scanner.HeldBack(), std::string(kUsage) + kDone) << cut;
    EXPECT_EQ(scanner.TokenEvents(), 2) << cut;
  }
}

// Guards against a broken stream that ends inside an event, and against the
// incomplete event being joined with the bytes of another upstream.
TEST(SseScanner, KeepsIncompleteEventsBack)
{
  sse_scanner scanner;
  EXPECT_EQ(scanner.Feed("data: {\"half"), "");
  EXPECT_TRUE(scanner.HasPartialEvent());
  scanner.DropPartialEvent();
  EXPECT_EQ(scanner.Feed(kText), kText);
  EXPECT_EQ(scanner.TokenEvents(), 1);
}

// Guards against a usage object that is quoted in generated text or nested in
// another object lowering the charge: only the top-level one counts.
TEST(SseScanner, IgnoresUsageInsideText)
{
  sse_scanner scanner;
  const std::string quoted =
    "data: {\"choices\":[{\"delta\":{\"content\":\"\\\"usage\\\":{\"}}],"
    "\"x\":{\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":1}}}\n\n";
  EXPECT_EQ(scanner.Feed(quoted), quoted);
  EXPECT_FALSE(scanner.Usage().has_value());
}

// Guards against negative or fractional usage lowering a charge.
TEST(SseScanner, RefusesMalformedUsage)
{
  EXPECT_FALSE(ParseUsage("{\"usage\":{\"prompt_tokens\":-1,"
                          "\"completion_tokens\":1}}"));
  EXPECT_FALSE(ParseUsage("{\"usage\":{\"prompt_tokens\":1.5,"
                          "\"completion_tokens\":1}}"));
  EXPECT_FALSE(ParseUsage("{\"usage\":"));
}
