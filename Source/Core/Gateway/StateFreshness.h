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

/// `aMaxAge` is the age up to which state counts as recent.
state_verdict JudgeState(const state_evidence& aEvidence,
                         std::chrono::milliseconds aMaxAge,
                         time_point aNow);
