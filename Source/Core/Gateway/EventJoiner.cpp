#include "Gateway/EventJoiner.h"

#include "Common/TextCodec.h"

namespace {

constexpr std::string_view kIdField = "id:";

/// Value of the `id` field; empty when the event has none.
std::string_view EventId(std::string_view aEvent)
{
  while (!aEvent.empty()) {
    const auto end = aEvent.find('\n');
    std::string_view line = aEvent.substr(0, end);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      if (line.starts_with(' ')) {
        line.remove_prefix(1);
      }
      return line;
    }
    if (end == std::string_view::npos) {
      break;
    }
    aEvent.remove_prefix(end + 1);
  }
  return {};
}

/// Length of the first whole event with its blank line; 0 when there is none.
std::size_t EventLength(std::string_view aBytes)
{
  const auto plain = aBytes.find("\n\n");
  const auto carriage = aBytes.find("\n\r\n");
  if (plain == std::string_view::npos && carriage == std::string_view::npos) {
    return 0;
  }
  return plain < carriage ? plain + 2 : carriage + 3;
}

} // namespace

void event_joiner::StartAfter(const std::string& aEventId)
{
  mLastId = aEventId;
  mLastNumber = ParseDecimal<std::uint64_t>(aEventId);
  mContinues = !aEventId.empty();
}

void event_joiner::BeginRun()
{
  mPartial.clear();
  mRunEvents = 0;
  mContinues = !mLastId.empty();
}

std::string event_joiner::Feed(std::string_view aBytes)
{
  mPartial.append(aBytes);
  std::string whole;
  std::size_t start = 0;
  while (true) {
    const std::string_view remaining = std::string_view(mPartial).substr(start);
    const std::size_t length = EventLength(remaining);
    if (length == 0) {
      break;
    }
    const std::string_view event = remaining.substr(0, length);
    if (Accept(event)) {
      whole.append(event);
    }
    start += length;
  }
  mPartial.erase(0, start);
  return whole;
}

bool event_joiner::Accept(std::string_view aEvent)
{
  const std::string_view id = EventId(aEvent);
  const auto number = ParseDecimal<std::uint64_t>(id);
  if (mContinues && (id.empty() || (mLastNumber && !number))) {
    mOutOfOrder = true;
    return false;
  }
  if (number && mLastNumber) {
    if (*number <= *mLastNumber) {
      return false;
    }
    if (*number != *mLastNumber + 1) {
      mOutOfOrder = true;
      return false;
    }
  }
  if (!id.empty()) {
    mLastId = std::string(id);
    mLastNumber = number;
  }
  ++mEvents;
  ++mRunEvents;
  return true;
}
