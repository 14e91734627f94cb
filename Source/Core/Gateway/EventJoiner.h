#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Splits a stream of server-sent events into whole events and joins the
/// responses of several servers to one stream. A stream that breaks never ends
/// within an event.
class event_joiner
{
public:
  /// Adds received bytes and returns the whole events that they complete,
  /// without events that an earlier server of a resumed stream delivered.
  std::string Feed(std::string_view aBytes);
  /// The client has received the events up to this identity from another
  /// response.
  void StartAfter(const std::string& aEventId);
  /// Drops an incomplete event before another server continues the stream.
  void DropPartial() { mPartial.clear(); }
  /// Another server begins to send the stream, or its rest.
  void BeginRun();

  bool Partial() const { return !mPartial.empty(); }
  std::size_t PartialBytes() const { return mPartial.size(); }
  std::uint64_t Events() const { return mEvents; }
  /// Accepted events of the server that sends now.
  std::uint64_t RunEvents() const { return mRunEvents; }
  /// Identity of the last whole event; empty if it had none.
  const std::string& LastId() const { return mLastId; }
  /// Whether numeric event identities left a gap, or an event that continues
  /// the stream of another server has no identity; the stream must then not end
  /// as if it were complete.
  bool OutOfOrder() const { return mOutOfOrder; }

private:
  bool Accept(std::string_view aEvent);

  std::string mPartial;
  std::uint64_t mEvents = 0;
  std::uint64_t mRunEvents = 0;
  /// Whether events of another server came before those of the current run.
  bool mContinues = false;
  std::string mLastId;
  std::optional<std::uint64_t> mLastNumber;
  bool mOutOfOrder = false;
};
