#include "Replay/Trace.h"

#include <array>
#include <istream>
#include <ostream>
#include <stdexcept>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace {

using nlohmann::json;

constexpr std::string_view kFormatName = "lentilswitch-trace";

constexpr std::array<std::pair<trace_event_kind, std::string_view>, 3>
  kEventNames = { {
    { trace_event_kind::UpstreamLost, "upstream_lost" },
    { trace_event_kind::UpstreamLeaving, "upstream_leaving" },
    { trace_event_kind::CrashMarker, "crash_marker" },
  } };

std::optional<trace_event_kind> ParseEventKind(std::string_view aName)
{
  for (const auto& [kind, name] : kEventNames) {
    if (name == aName) {
      return kind;
    }
  }
  return std::nullopt;
}

std::string_view EventKindName(trace_event_kind aKind)
{
  return kEventNames[static_cast<std::size_t>(aKind)].second;
}

trace_header ParseHeader(const json& aLine)
{
  trace_header header;
  header.mVersion = aLine.at("version");
  header.mName = aLine.at("name");
  header.mSeed = aLine.at("seed");
  header.mDurationMs = aLine.at("duration_ms");
  for (const json& node : aLine.at("nodes")) {
    header.mNodes.push_back({ { node.at("id").get<std::string>() },
                              { node.at("zone").get<std::string>() } });
  }
  for (const json& engine : aLine.at("engines")) {
    trace_engine parsed{ { engine.at("id").get<std::string>() },
                         { engine.at("zone").get<std::string>() },
                         engine.at("slots"),
                         {} };
    for (const json& model : engine.at("models")) {
      parsed.mModels.push_back({ model.get<std::string>() });
    }
    header.mEngines.push_back(std::move(parsed));
  }
  for (const json& account : aLine.at("accounts")) {
    header.mAccounts.push_back({ { account.at("id").get<std::string>() },
                                 account.at("weight"),
                                 account.at("nodes") });
  }
  return header;
}

/// A message when the values of a header cannot be used.
std::optional<std::string> CheckHeader(const trace_header& aHeader)
{
  if (aHeader.mVersion != kTraceVersion) {
    return fmt::format("trace version {} is not {}, the only one known",
                       aHeader.mVersion,
                       kTraceVersion);
  }
  if (aHeader.mNodes.empty() || aHeader.mEngines.empty()) {
    return "a trace needs at least one node and one engine";
  }
  if (aHeader.mDurationMs <= 0) {
    return "the duration must be above 0";
  }
  return std::nullopt;
}

trace_arrival ParseArrival(const json& aLine)
{
  trace_arrival arrival;
  arrival.mAtMs = aLine.at("t");
  arrival.mAccount = { aLine.at("account").get<std::string>() };
  const std::string rank = aLine.at("rank");
  const auto parsed = ParseWorkRank(rank);
  if (!parsed) {
    throw std::invalid_argument(fmt::format("unknown rank \"{}\"", rank));
  }
  arrival.mRank = *parsed;
  arrival.mFreeTier = aLine.value("free", false);
  arrival.mModel = { aLine.at("model").get<std::string>() };
  arrival.mPromptTokens = aLine.at("prompt");
  arrival.mOutputTokens = aLine.at("output");
  arrival.mMaxOutputTokens = aLine.value("max_output", arrival.mOutputTokens);
  arrival.mPrefix = aLine.value("prefix", std::uint64_t(0));
  arrival.mPrefixBlocks = aLine.value("prefix_blocks", 0U);
  arrival.mContent = aLine.at("content");
  return arrival;
}

trace_event ParseEvent(const json& aLine)
{
  trace_event event;
  event.mAtMs = aLine.at("t");
  const std::string name = aLine.at("event");
  const auto kind = ParseEventKind(name);
  if (!kind) {
    throw std::invalid_argument(fmt::format("unknown event \"{}\"", name));
  }
  event.mKind = *kind;
  event.mUpstream = { aLine.value("upstream", std::string()) };
  event.mContent = aLine.value("content", std::uint64_t(0));
  event.mPeriodMs = aLine.value("period_ms", std::int64_t(0));
  return event;
}

/// Adds a line to the trace; a message when it cannot be used.
std::optional<std::string> AddLine(trace& aTrace,
                                   const json& aLine,
                                   bool aIsFirst,
                                   std::int64_t& aLastMs)
{
  try {
    if (aIsFirst) {
      if (aLine.value("format", std::string()) != kFormatName) {
        return fmt::format("the first line must have format \"{}\"",
                           kFormatName);
      }
      aTrace.mHeader = ParseHeader(aLine);
      return CheckHeader(aTrace.mHeader);
    }
    const std::int64_t at = aLine.at("t");
    if (at < aLastMs) {
      return fmt::format("time {} is before that of the line above", at);
    }
    aLastMs = at;
    if (aLine.contains("event")) {
      aTrace.mEvents.push_back(ParseEvent(aLine));
    } else {
      aTrace.mArrivals.push_back(ParseArrival(aLine));
    }
  } catch (const std::exception& error) {
    return error.what();
  }
  return std::nullopt;
}

json HeaderLine(const trace_header& aHeader)
{
  json line{ { "format", kFormatName },
             { "version", aHeader.mVersion },
             { "name", aHeader.mName },
             { "seed", aHeader.mSeed },
             { "duration_ms", aHeader.mDurationMs },
             { "nodes", json::array() },
             { "engines", json::array() },
             { "accounts", json::array() } };
  for (const trace_node& node : aHeader.mNodes) {
    line["nodes"].push_back(
      { { "id", node.mNode.mName }, { "zone", node.mZone.mName } });
  }
  for (const trace_engine& engine : aHeader.mEngines) {
    json models = json::array();
    for (const model_id& model : engine.mModels) {
      models.push_back(model.mName);
    }
    line["engines"].push_back({ { "id", engine.mUpstream.mName },
                                { "zone", engine.mZone.mName },
                                { "slots", engine.mSlots },
                                { "models", models } });
  }
  for (const trace_account& account : aHeader.mAccounts) {
    line["accounts"].push_back({ { "id", account.mAccount.mName },
                                 { "weight", account.mWeight },
                                 { "nodes", account.mNodes } });
  }
  return line;
}

json ArrivalLine(const trace_arrival& aArrival)
{
  json line{ { "t", aArrival.mAtMs },
             { "account", aArrival.mAccount.mName },
             { "rank", WorkRankName(aArrival.mRank) },
             { "model", aArrival.mModel.mName },
             { "prompt", aArrival.mPromptTokens },
             { "max_output", aArrival.mMaxOutputTokens },
             { "output", aArrival.mOutputTokens },
             { "content", aArrival.mContent } };
  if (aArrival.mFreeTier) {
    line["free"] = true;
  }
  if (aArrival.mPrefixBlocks > 0) {
    line["prefix"] = aArrival.mPrefix;
    line["prefix_blocks"] = aArrival.mPrefixBlocks;
  }
  return line;
}

json EventLine(const trace_event& aEvent)
{
  json line{ { "t", aEvent.mAtMs },
             { "event", EventKindName(aEvent.mKind) },
             { "period_ms", aEvent.mPeriodMs } };
  if (aEvent.mKind == trace_event_kind::CrashMarker) {
    line["content"] = aEvent.mContent;
  } else {
    line["upstream"] = aEvent.mUpstream.mName;
  }
  return line;
}

} // namespace

result<trace, json_error> ReadTrace(std::istream& aInput,
                                    std::string_view aSource)
{
  trace read;
  std::string text;
  int number = 0;
  std::int64_t lastMs = 0;
  const std::string source(aSource);
  while (std::getline(aInput, text)) {
    ++number;
    if (text.empty()) {
      continue;
    }
    const json line = json::parse(text, nullptr, false);
    if (line.is_discarded() || !line.is_object()) {
      return json_error{ source, number, {}, "the line is no JSON object" };
    }
    const bool isFirst = read.mHeader.mNodes.empty();
    const auto message = AddLine(read, line, isFirst, lastMs);
    if (message) {
      return json_error{ source, number, {}, *message };
    }
  }
  if (read.mHeader.mNodes.empty()) {
    return json_error{ source, 0, {}, "the trace has no header" };
  }
  return read;
}

void WriteTrace(const trace& aTrace, std::ostream& aOutput)
{
  aOutput << HeaderLine(aTrace.mHeader).dump() << '\n';
  auto event = aTrace.mEvents.begin();
  const auto writeEvents = [&](std::int64_t aUntilMs) {
    while (event != aTrace.mEvents.end() && event->mAtMs <= aUntilMs) {
      aOutput << EventLine(*event++).dump() << '\n';
    }
  };
  for (const trace_arrival& arrival : aTrace.mArrivals) {
    writeEvents(arrival.mAtMs);
    aOutput << ArrivalLine(arrival).dump() << '\n';
  }
  writeEvents(aTrace.mHeader.mDurationMs);
}
