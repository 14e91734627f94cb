#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Joins the runs of a stream: splits a stream of server-sent events into whole
/// events, so that a stream that breaks never ends within one.
class event_joiner
{
public:
  /// Whole events that the bytes complete, without those that an earlier run
  /// of a resumed stream delivered.
  std::string Feed(std::string_view aBytes);
  /// Forgets an incomplete event before another server continues the stream.
  void DropPartial() { mPartial.clear(); }

  bool Partial() const { return !mPartial.empty(); }
  std::uint64_t Events() const { return mEvents; }
  /// Identity of the last whole event; empty when there was none.
  const std::string& LastId() const { return mLastId; }
  /// Whether event identities left a gap or went back; then the stream must not
  /// look complete.
  bool OutOfOrder() const { return mOutOfOrder; }

private:
  bool Accept(std::string_view aEvent);

  std::string mPartial;
  std::uint64_t mEvents = 0;
  std::string mLastId;
  std::optional<std::uint64_t> mLastNumber;
  bool mOutOfOrder = false;
};
