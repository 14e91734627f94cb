#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "Common/Time.h"

/// Decides whether the node may act on what it knows of the store.
///
/// While the store is away for all nodes, nothing changes there, and the nodes
/// go on with what they know. A node that alone hears nothing, because its own
/// link is full or the path to the store is cut, would send requests to servers
/// that have left and apply a configuration that was replaced.

/// Age of a table's copy. Times are local.
struct table_age
{
  /// When the own copy was current.
  time_point mCurrentAt;
  /// When the newest copy of a peer that reported lately was current; nothing
  /// if no peer did.
  std::optional<time_point> mPeerCurrentAt;
};

/// What a node knows about the age of its state.
struct state_evidence
{
  table_age mConfig;
  table_age mServers;
  /// Last time at which the link of the host was overloaded.
  std::optional<time_point> mLinkOverloadedAt;
};

enum class state_verdict : std::uint8_t
{
  /// The state is recent.
  Current,
  /// The state is old, and no node of the fleet has a newer one.
  StoreAway,
  /// The state is old, and newer state exists or is likely to exist.
  Outdated,
};

std::string_view StateVerdictName(state_verdict aVerdict);

/// Times by which the platform requires that changes in the store take effect.
struct state_bounds
{
  /// From the entry of a leaving server to the last request there.
  std::chrono::milliseconds mLeave{ 0 };
  /// From a configuration to the last request that is handled by an older one.
  std::chrono::milliseconds mConfig{ 0 };
  /// From the evacuation of a zone to the last request there; nothing if the
  /// platform states none.
  std::optional<std::chrono::milliseconds> mEvacuation;
};

/// Age up to which state counts as recent. The rest of the bounds is for the
/// way of a request.
std::chrono::milliseconds MaxStateAge(const state_bounds& aBounds);

/// Latest time at which requests that are sent now may leave the host, so that
/// they reach no server that has left and no evacuated zone in time.
/// `aConfigCurrentAt` and `aServersCurrentAt` tell when the copies of the
/// tables were current; they do not count while the store is away.
time_point LatestLeavesAt(const state_bounds& aBounds,
                          state_verdict aVerdict,
                          time_point aConfigCurrentAt,
                          time_point aServersCurrentAt,
                          time_point aNow);

/// `aMaxAge` is the age up to which state counts as recent.
state_verdict JudgeState(const state_evidence& aEvidence,
                         std::chrono::milliseconds aMaxAge,
                         time_point aNow);
