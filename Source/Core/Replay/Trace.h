#pragma once

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/JsonText.h"
#include "Common/Result.h"
#include "Dispatch/DispatchTypes.h"

/// Recorded traces: JSON lines. The first line is the header with the version;
/// every other line is an arrival or an event, in the order of time. Times
/// count in milliseconds from the start of the trace.

inline constexpr int kTraceVersion = 1;

struct trace_engine
{
  upstream_id mUpstream;
  zone_id mZone;
  std::uint32_t mSlots = 16;
  std::vector<model_id> mModels;
  auto operator<=>(const trace_engine&) const = default;
};

struct trace_node
{
  node_id mNode;
  zone_id mZone;
  auto operator<=>(const trace_node&) const = default;
};

struct trace_account
{
  account_id mAccount;
  double mWeight = 1.0;
  /// Nodes to which the account's callers are directed.
  std::uint32_t mNodes = 2;
  auto operator<=>(const trace_account&) const = default;
};

struct trace_header
{
  int mVersion = kTraceVersion;
  std::string mName;
  std::uint64_t mSeed = 1;
  std::int64_t mDurationMs = 0;
  std::vector<trace_node> mNodes;
  std::vector<trace_engine> mEngines;
  std::vector<trace_account> mAccounts;
  auto operator<=>(const trace_header&) const = default;
};

struct trace_arrival
{
  std::int64_t mAtMs = 0;
  account_id mAccount;
  work_rank mRank = work_rank::Routine;
  bool mFreeTier = false;
  model_id mModel;
  std::int64_t mPromptTokens = 0;
  std::int64_t mMaxOutputTokens = 0;
  /// Output tokens that the engine generates.
  std::int64_t mOutputTokens = 0;
  /// Number of the shared prompt prefix, and its length in blocks.
  std::uint64_t mPrefix = 0;
  std::uint32_t mPrefixBlocks = 0;
  /// Number of the content; equal contents have equal numbers.
  std::uint64_t mContent = 0;
  auto operator<=>(const trace_arrival&) const = default;
};

enum class trace_event_kind : std::uint8_t
{
  /// The upstream's host is gone for `mPeriodMs`.
  UpstreamLost,
  /// The upstream says that it leaves; it goes when its work is done.
  UpstreamLeaving,
  /// From now on, attempts with the content crash their upstream `mPeriodMs`
  /// after they began to run.
  CrashMarker,
};

struct trace_event
{
  std::int64_t mAtMs = 0;
  trace_event_kind mKind = trace_event_kind::UpstreamLost;
  upstream_id mUpstream;
  std::uint64_t mContent = 0;
  std::int64_t mPeriodMs = 0;
  auto operator<=>(const trace_event&) const = default;
};

struct trace
{
  trace_header mHeader;
  std::vector<trace_arrival> mArrivals;
  std::vector<trace_event> mEvents;
  auto operator<=>(const trace&) const = default;
};

/// Reads a trace; the error names the line. `aSource` is the name for errors.
result<trace, json_error> ReadTrace(std::istream& aInput,
                                    std::string_view aSource);

void WriteTrace(const trace& aTrace, std::ostream& aOutput);
