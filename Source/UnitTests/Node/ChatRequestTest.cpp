#include "Node/ChatRequest.h"

#include <string>

#include <gtest/gtest.h>

namespace {

constexpr const char* kBody =
  R"({"model":"m","messages":[{"role":"user","content":"hello"}],)"
  R"("max_tokens":20,"stream":true,"rank":"urgent","temperature":0.5})";

std::string ErrorOf(const std::string& aBody)
{
  const auto parsed = ParseChatRequest(aBody);
  return parsed.has_value() ? std::string() : parsed.error().mMessage;
}

} // namespace

// Guards against a request field that the router uses being lost or misread.
TEST(ChatRequest, ReadsWhatTheRouterNeeds)
{
  const auto parsed = ParseChatRequest(kBody);
  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(parsed.value().mModel.mName, "m");
  EXPECT_EQ(parsed.value().mRank, work_rank::Urgent);
  EXPECT_EQ(parsed.value().mMaxTokens, 20);
  EXPECT_TRUE(parsed.value().mStream);
  EXPECT_GE(parsed.value().mMaxPromptTokens, 5);
}

// Guards against an engine producing more output than was reserved, and
// against the router's own fields reaching the engine.
TEST(ChatRequest, CapsTheUpstreamBody)
{
  const auto parsed = ParseChatRequest(kBody);
  ASSERT_TRUE(parsed.has_value());
  const auto body =
    nlohmann::json::parse(MakeUpstreamBody(parsed.value(), { 7, 2 }));
  EXPECT_EQ(body.at("max_tokens"), 7);
  EXPECT_EQ(body.at("priority"), 2);
  EXPECT_EQ(body.at("stream_options").at("include_usage"), true);
  EXPECT_EQ(body.at("temperature"), 0.5);
  EXPECT_FALSE(body.contains("rank"));
}

// Guards against error messages that do not name the invalid field.
TEST(ChatRequest, NamesTheFieldOfAnError)
{
  EXPECT_EQ(ErrorOf("[]"), "body: expected a JSON object");
  EXPECT_NE(ErrorOf(R"({"messages":[]})").find("model:"), std::string::npos);
  EXPECT_NE(ErrorOf(R"({"model":"m","messages":[]})").find("messages:"),
            std::string::npos);
  EXPECT_NE(ErrorOf(R"({"model":"m","messages":[{"role":"user"}]})")
              .find("messages[0].content"),
            std::string::npos);
  const std::string start =
    R"({"model":"m","messages":[{"role":"u","content":"x"}],)";
  EXPECT_NE(ErrorOf(start + R"("max_tokens":0})").find("max_tokens:"),
            std::string::npos);
  EXPECT_NE(ErrorOf(start + R"("rank":"first"})").find("rank:"),
            std::string::npos);
  EXPECT_NE(ErrorOf(start + R"("n":2})").find("n:"), std::string::npos);
  EXPECT_NE(ErrorOf(start + R"("model":"x"})").find("duplicate key"),
            std::string::npos);
}

// Guards against prefix hashes that differ although only the end of the prompt
// does: such requests would miss the engine's prefix cache.
TEST(ChatRequest, SharesPrefixBlocks)
{
  const std::string shared(2000, 'a');
  const auto make = [&shared](const std::string& aEnd) {
    return ParseChatRequest(
             R"({"model":"m","messages":[{"role":"u","content":")" + shared +
             aEnd + R"("}]})")
      .value()
      .mPrefixBlocks;
  };
  const auto first = make("one");
  const auto second = make("two");
  ASSERT_GE(first.size(), 7U);
  EXPECT_TRUE(std::equal(first.begin(), first.begin() + 7, second.begin()));
}
