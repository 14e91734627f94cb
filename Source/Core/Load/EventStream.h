#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

/// Splits a server-sent event stream into the data of its events.
class event_splitter
{
public:
  using callback = std::function<void(std::string_view aData)>;

  /// Takes bytes as they arrive and calls back for every complete event.
  void Feed(std::string_view aBytes, const callback& aEvent);
  /// True when the bytes so far do not end with an event's blank line.
  bool Partial() const { return !mLine.empty() || !mData.empty(); }

private:
  void TakeLine(const callback& aEvent);

  std::string mLine;
  std::string mData;
};

/// What a streamed completion has brought so far, and whether it is whole.
class completion_check
{
public:
  /// What one event was.
  enum class event_kind : std::uint8_t
  {
    /// Generated text.
    Token,
    /// Anything else that belongs to a stream.
    Other,
    /// An error object that ends the stream.
    Error,
    /// The end marker `[DONE]`.
    Done,
    /// Not JSON, or an event after the end marker.
    Malformed,
  };

  event_kind Take(std::string_view aData);

  std::uint64_t Tokens() const { return mTokens; }
  std::uint64_t PromptTokens() const { return mPromptTokens; }
  std::uint64_t OutputTokens() const { return mOutputTokens; }
  const std::string& ErrorCode() const { return mErrorCode; }
  /// `ok`, the code of an error event, or what is missing from the stream.
  std::string Outcome() const;

private:
  /// Events with generated text.
  std::uint64_t mTokens = 0;
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mOutputTokens = 0;
  bool mUsage = false;
  bool mDone = false;
  bool mMalformed = false;
  std::string mErrorCode;
};
