#include "Node/SseScanner.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace {

using json = nlohmann::json;

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataFieldPrefix = "data:";
constexpr std::string_view kDoneData = "[DONE]";
constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";
// Engines that report usage in the last event put `"usage":null` into the
// others, so the match includes the opening brace.
constexpr std::string_view kUsageField = "\"usage\":{";
// Generated text inside an event cannot match, since its quotes are escaped.
constexpr std::string_view kFinishReasonField = "\"finish_reason\":\"";
constexpr std::string_view kUsageFieldSpaced = "\"usage\": {";

std::string_view EventData(std::string_view aEvent)
{
  if (!aEvent.starts_with(kDataFieldPrefix)) {
    return {};
  }
  aEvent.remove_prefix(kDataFieldPrefix.size());
  while (!aEvent.empty() && aEvent.front() == ' ') {
    aEvent.remove_prefix(1);
  }
  return aEvent;
}

bool IsTokenCount(const json& aUsage, const char* aField)
{
  return aUsage.contains(aField) && aUsage.at(aField).is_number_integer() &&
         aUsage.at(aField).get<std::int64_t>() >= 0;
}

} // namespace

std::optional<token_usage> ParseUsage(std::string_view aJson)
{
  const json value = json::parse(aJson, nullptr, false);
  if (!value.is_object() || !value.contains("usage") ||
      !value.at("usage").is_object()) {
    return std::nullopt;
  }
  const json& usage = value.at("usage");
  if (!IsTokenCount(usage, "prompt_tokens") ||
      !IsTokenCount(usage, "completion_tokens")) {
    return std::nullopt;
  }
  return token_usage{ usage.at("prompt_tokens").get<std::int64_t>(),
                      usage.at("completion_tokens").get<std::int64_t>() };
}

std::string sse_scanner::Feed(std::string_view aBytes)
{
  mPartialEvent.append(aBytes);
  std::string forward;
  std::size_t begin = 0;
  while (true) {
    const std::size_t end = mPartialEvent.find(kEventEnd, begin);
    if (end == std::string::npos) {
      break;
    }
    const std::size_t next = end + kEventEnd.size();
    const std::string_view event(mPartialEvent.data() + begin, end - begin);
    std::string& target = ProcessEvent(event) ? mHeldBack : forward;
    target.append(mPartialEvent, begin, next - begin);
    begin = next;
  }
  mPartialEvent.erase(0, begin);
  return forward;
}

bool sse_scanner::ProcessEvent(std::string_view aEvent)
{
  const std::string_view data = EventData(aEvent);
  if (data == kDoneData) {
    mDoneSeen = true;
    mHoldingBack = true;
    return true;
  }
  const bool mayHaveUsage =
    data.find(kUsageField) != std::string_view::npos ||
    data.find(kUsageFieldSpaced) != std::string_view::npos;
  if (mayHaveUsage) {
    // The same characters may occur elsewhere in the event, so only a parsed
    // top-level object counts.
    if (const auto usage = ParseUsage(data)) {
      mUsage = usage;
      mHoldingBack = true;
      return true;
    }
  }
  const bool finish = data.find(kFinishReasonField) != std::string_view::npos;
  if (!data.empty() && !finish) {
    ++mTokenEvents;
  }
  return mHoldingBack;
}

void sse_scanner::DropPartialEvent()
{
  mPartialEvent.clear();
}

void sse_scanner::ReplaceUsage(const token_usage& aUsage)
{
  const json event = {
    { "object", "chat.completion.chunk" },
    { "choices", json::array() },
    { "usage",
      { { "prompt_tokens", aUsage.mPromptTokens },
        { "completion_tokens", aUsage.mCompletionTokens },
        { "total_tokens", aUsage.Total() } } },
  };
  mUsage = aUsage;
  mHeldBack = fmt::format("data: {}\n\n{}", event.dump(), kDoneEvent);
}
