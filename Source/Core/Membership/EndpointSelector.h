#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Identity.h"
#include "Membership/MemberTable.h"

/// Number of nodes that an account gets, and how long the answer is valid.
struct endpoint_settings
{
  /// Nodes for an account with little demand.
  std::size_t mMinNodes = 3;
  /// Limit for an account with much demand.
  std::size_t mMaxNodes = 32;
  /// Factor on the account's share of the nodes: an account with 1/10 of the
  /// demand gets this factor times 1/10 of the nodes.
  double mHeadroom = 1.5;
  /// Time for which a caller may use an answer.
  std::chrono::seconds mTimeToLive{ 30 };
  auto operator<=>(const endpoint_settings&) const = default;
};

/// A request for the nodes of an account.
struct endpoint_query
{
  account_id mAccount;
  /// The account's share of the fleet's demand, 0 to 1.
  double mDemand = 0;
  /// Availability zone of the caller, if it sent one.
  std::optional<zone_id> mZone;
};

/// The nodes of an account.
struct endpoint_answer
{
  /// Nodes, in the order in which the caller should try them.
  std::vector<member> mNodes;
  /// Time for which the caller may cache the answer.
  std::chrono::seconds mTimeToLive{ 0 };
  auto operator<=>(const endpoint_answer&) const = default;
};

/// Maps accounts to nodes by rendezvous hashing, so that a node that joins or
/// leaves changes the answers of few accounts. Keeps a copy of the members;
/// does no I/O.
class endpoint_selector
{
public:
  explicit endpoint_selector(endpoint_settings aSettings = {});

  /// Replaces the members. Called whenever the membership version changes.
  /// Leaving and dead nodes are not offered to callers.
  void SetMembers(const std::vector<member>& aMembers);
  /// Returns the nodes for an account; empty only when no node takes work.
  endpoint_answer Select(const endpoint_query& aQuery) const;
  /// Returns the members in other availability zones than `aSelf`, preferred
  /// first: alive before suspect, then the region of `aSelf` before others. The
  /// order differs from node to node, and a member that joins or leaves does
  /// not change the order of the others.
  std::vector<member> BackupCandidates(const node_id& aSelf) const;

private:
  std::optional<region_id> RegionOf(const zone_id& aZone) const;
  std::size_t NodeCount(double aDemand, std::size_t aNodes) const;

  endpoint_settings mSettings;
  std::vector<member> mAllMembers;
  /// The members that take new work.
  std::vector<member> mAvailableMembers;
};
