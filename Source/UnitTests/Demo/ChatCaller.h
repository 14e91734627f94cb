#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "Remote/HttpClient.h"
#include "Remote/HttpStream.h"

/// What a caller asks of a node.
struct chat_call
{
  std::string mNode;
  std::string mKey;
  std::string mPrompt;
  std::uint32_t mMaxTokens = 20;
  std::string mIdempotencyKey;
  std::string mRank = "urgent";
};

/// One streamed chat request as a caller sees it.
class chat_caller
{
public:
  chat_caller(http_client& aClient, const chat_call& aCall);

  bool Done() const { return mDone; }
  /// The stream ended with `[DONE]` after a usage object.
  bool Whole() const { return mWhole && mUsage > 0; }
  unsigned Status() const { return mStatus; }
  const std::string& Text() const { return mText; }
  std::int64_t Usage() const { return mUsage; }
  std::int64_t Tokens() const { return mTokens; }
  /// Members `code` and `run` of the error, empty without one.
  const std::string& Code() const { return mCode; }
  const std::string& Run() const { return mRun; }
  /// Goes away in the middle of the response.
  void HangUp() { mStream.reset(); }

  static std::string Body(const chat_call& aCall);

private:
  void TakeBytes(std::string_view aBytes);
  void TakeEvent(const std::string& aData);
  void TakeError(const nlohmann::json& aBody);
  void Finish(bool aFailed);

  std::string mBuffer;
  std::string mText;
  std::string mCode;
  std::string mRun;
  std::int64_t mUsage = 0;
  std::int64_t mTokens = 0;
  unsigned mStatus = 0;
  bool mWhole = false;
  bool mDone = false;
  std::unique_ptr<http_stream> mStream;
};
