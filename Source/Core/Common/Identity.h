#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// Typed identities, so that the compiler rejects, for example, an account
/// where a node is expected.

/// An identity given by a name. `Tag` makes each kind a type of its own.
template<class Tag>
struct named_id
{
  std::string mName;
  auto operator<=>(const named_id&) const = default;
};

using account_id = named_id<struct account_tag>;
using budget_id = named_id<struct budget_tag>;
using node_id = named_id<struct node_tag>;
using upstream_id = named_id<struct upstream_tag>;
using model_id = named_id<struct model_tag>;
using zone_id = named_id<struct zone_tag>;
using region_id = named_id<struct region_tag>;
using service_id = named_id<struct service_tag>;

/// A 128-bit identity. `Tag` makes each kind a type of its own.
template<class Tag>
struct wide_id
{
  std::uint64_t mHigh = 0;
  std::uint64_t mLow = 0;
  auto operator<=>(const wide_id&) const = default;
};

/// Identity of a caller's request, which all its retries share.
using request_id = wide_id<struct request_tag>;
/// Client-chosen identity of a table transaction. Committing the same
/// transaction again has no further effect.
using transaction_id = wide_id<struct transaction_tag>;
/// Fingerprint of a request's content. Requests of one account with equal
/// prompts have the same.
using content_id = wide_id<struct content_tag>;
/// Identity of a prompt segment, the same for all requests that share it.
using segment_id = wide_id<struct segment_tag>;

/// Identity of one run of a node process, as used for locks, leases and row
/// owners. A restarted process has a higher incarnation.
struct incarnation_id
{
  node_id mNode;
  std::uint64_t mIncarnation = 0;
  auto operator<=>(const incarnation_id&) const = default;
};

/// Priority rank of a request, highest first.
enum class work_rank : std::uint8_t
{
  Urgent,
  Routine,
  Background,
};

inline constexpr std::size_t kWorkRankCount = 3;

/// Name of a rank as it appears in requests, settings and metrics.
std::string_view WorkRankName(work_rank aRank);

/// Parses the name of a rank; nothing for an unknown name.
std::optional<work_rank> ParseWorkRank(std::string_view aName);

/// Whether a rejected request ran at an upstream.
enum class run_state : std::uint8_t
{
  NotRun,
  Unknown,
  Ran,
};

/// Name of a run state as it appears in error bodies.
std::string_view RunStateName(run_state aState);

/// Text form `<node>/<incarnation>`, used in rows, logs and messages.
std::string FormatIncarnation(const incarnation_id& aIncarnation);

/// Parses the text form of `FormatIncarnation`; nothing when it is malformed.
std::optional<incarnation_id> ParseIncarnation(std::string_view aText);

/// Formats 128 bits as 32 lower-case hexadecimal digits.
std::string FormatHex(std::uint64_t aHigh, std::uint64_t aLow);

template<class Tag>
std::string FormatWide(const wide_id<Tag>& aId)
{
  return FormatHex(aId.mHigh, aId.mLow);
}

/// Parses 32 hexadecimal digits; false when the text is malformed.
bool ParseHex(std::string_view aText,
              std::uint64_t& aHigh,
              std::uint64_t& aLow);

template<class Tag>
std::optional<wide_id<Tag>> ParseWide(std::string_view aText)
{
  wide_id<Tag> id;
  if (!ParseHex(aText, id.mHigh, id.mLow)) {
    return std::nullopt;
  }
  return id;
}

template<class Tag>
struct std::hash<named_id<Tag>>
{
  std::size_t operator()(const named_id<Tag>& aId) const
  {
    return std::hash<std::string>()(aId.mName);
  }
};

template<class Tag>
struct std::hash<wide_id<Tag>>
{
  // The identities are hashes or random numbers, so one word is enough.
  std::size_t operator()(const wide_id<Tag>& aId) const { return aId.mLow; }
};

template<>
struct std::hash<incarnation_id>
{
  std::size_t operator()(const incarnation_id& aId) const
  {
    return std::hash<node_id>()(aId.mNode) ^ aId.mIncarnation;
  }
};
