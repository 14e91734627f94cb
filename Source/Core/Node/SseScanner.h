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

/// Reads a usage object out of a whole response or one event; nothing when it
/// has none or a malformed one.
std::optional<token_usage> ParseUsage(std::string_view aJson);

/// Follows a stream of server-sent events without parsing the events that
/// only carry text. Splits off what must wait until the charge is protected:
/// everything from the first event that carries usage or ends the stream.
class sse_scanner
{
public:
  /// Bytes that may be forwarded now. Incomplete events are kept back until
  /// their end arrives, so that a broken stream never ends inside an event.
  std::string Feed(std::string_view aBytes);

  /// Forgets an incomplete event, before another upstream resumes the stream.
  void DropPartial();

  /// Bytes to forward once the charge is protected.
  const std::string& HeldBack() const { return mHeldBack; }
  /// Whether `data: [DONE]` was seen.
  bool Done() const { return mDone; }
  /// Replaces the usage that goes to the caller, after a resumed stream whose
  /// last part only counted its own tokens.
  void ReplaceUsage(const token_usage& aUsage);
  /// Events with a token so far.
  std::int64_t Events() const { return mEvents; }
  const std::optional<token_usage>& Usage() const { return mUsage; }
  /// Whether an event is incomplete.
  bool Partial() const { return !mPartial.empty(); }
  std::size_t BufferedBytes() const
  {
    return mPartial.size() + mHeldBack.size();
  }

private:
  bool TakeEvent(std::string_view aEvent);

  std::string mPartial;
  std::string mHeldBack;
  std::int64_t mEvents = 0;
  std::optional<token_usage> mUsage;
  bool mDone = false;
  bool mHolding = false;
};
