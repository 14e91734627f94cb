#include "Load/EventStream.h"

#include <nlohmann/json.hpp>

namespace {

using json = nlohmann::json;

// A line of a stream is one small JSON object; a longer one is not a stream.
constexpr std::size_t kMaxLine = 1024 * 1024;

bool HasText(const json& aEvent)
{
  static const json::json_pointer sText("/choices/0/delta/content");
  return aEvent.contains(sText) && aEvent[sText].is_string() &&
         !aEvent[sText].get_ref<const std::string&>().empty();
}

std::uint64_t CountAt(const json& aUsage, const char* aKey)
{
  const auto found = aUsage.find(aKey);
  return found != aUsage.end() && found->is_number_unsigned()
           ? found->get<std::uint64_t>()
           : 0;
}

} // namespace

void event_splitter::Feed(std::string_view aBytes, const callback& aEvent)
{
  while (!aBytes.empty()) {
    const std::size_t end = aBytes.find('\n');
    if (mLine.size() < kMaxLine) {
      mLine.append(aBytes.substr(0, end));
    }
    if (end == std::string_view::npos) {
      return;
    }
    TakeLine(aEvent);
    mLine.clear();
    aBytes.remove_prefix(end + 1);
  }
}

void event_splitter::TakeLine(const callback& aEvent)
{
  std::string_view line = mLine;
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    if (!mData.empty()) {
      aEvent(mData);
      mData.clear();
    }
    return;
  }
  if (!line.starts_with("data:")) {
    return;
  }
  line.remove_prefix(5);
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  if (!mData.empty()) {
    mData.push_back('\n');
  }
  mData.append(line);
}

completion_check::event_kind completion_check::Take(std::string_view aData)
{
  if (mDone) {
    mMalformed = true;
    return event_kind::Malformed;
  }
  if (aData == "[DONE]") {
    mDone = true;
    return event_kind::Done;
  }
  const json event = json::parse(aData, nullptr, false);
  if (!event.is_object()) {
    mMalformed = true;
    return event_kind::Malformed;
  }
  const auto error = event.find("error");
  if (error != event.end()) {
    const bool coded = error->is_object() && error->contains("code") &&
                       (*error)["code"].is_string();
    mErrorCode = coded ? (*error)["code"].get<std::string>() : "error";
    return event_kind::Error;
  }
  const auto usage = event.find("usage");
  if (usage != event.end() && usage->is_object()) {
    mUsage = true;
    mPromptTokens = CountAt(*usage, "prompt_tokens");
    mOutputTokens = CountAt(*usage, "completion_tokens");
  }
  if (!HasText(event)) {
    return event_kind::Other;
  }
  ++mTokens;
  return event_kind::Token;
}

std::string completion_check::Outcome() const
{
  if (!mErrorCode.empty()) {
    return mErrorCode;
  }
  if (mMalformed) {
    return "malformed";
  }
  if (!mDone) {
    return "incomplete";
  }
  return mUsage ? "ok" : "no_usage";
}
