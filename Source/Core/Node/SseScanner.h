#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Token counts that an upstream reports for one response.
struct token_usage
{
  std::int64_t mPromptTokens = 0;
  std::int64_t mCompletionTokens = 0;

  std::int64_t Total() const { return mPromptTokens + mCompletionTokens; }
  auto operator<=>(const token_usage&) const = default;
};

/// Parses the `usage` object of a complete response or of one event. Returns
/// nothing when it is missing or malformed.
std::optional<token_usage> ParseUsage(std::string_view aJson);

/// Scans a stream of server-sent events without parsing events that only carry
/// text. Holds back the part that may be sent only after the charge is
/// protected: everything from the first event with usage or `[DONE]` on.
class sse_scanner
{
public:
  /// Adds bytes of the stream and returns those that may be forwarded now. An
  /// incomplete event is buffered until its end arrives, so that a stream that
  /// breaks never ends inside an event.
  std::string Feed(std::string_view aBytes);

  /// Discards an incomplete event before another upstream resumes the stream.
  void DropPartialEvent();

  /// Bytes to forward when the charge is protected.
  const std::string& HeldBack() const { return mHeldBack; }
  /// Whether `data: [DONE]` was seen.
  bool DoneSeen() const { return mDoneSeen; }
  /// Replaces the usage that the caller gets. Needed for a resumed stream: the
  /// last upstream reports only the tokens of its own attempt.
  void ReplaceUsage(const token_usage& aUsage);
  /// Number of events with a token so far.
  std::int64_t TokenEvents() const { return mTokenEvents; }
  const std::optional<token_usage>& Usage() const { return mUsage; }
  /// Whether an incomplete event is buffered.
  bool HasPartialEvent() const { return !mPartialEvent.empty(); }
  std::size_t BufferedBytes() const
  {
    return mPartialEvent.size() + mHeldBack.size();
  }

private:
  /// Processes one event; returns whether it must be held back.
  bool ProcessEvent(std::string_view aEvent);

  std::string mPartialEvent;
  std::string mHeldBack;
  std::int64_t mTokenEvents = 0;
  std::optional<token_usage> mUsage;
  bool mDoneSeen = false;
  bool mHoldingBack = false;
};
