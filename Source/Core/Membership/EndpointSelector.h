#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Identity.h"
#include "Membership/MemberTable.h"

/// How many addresses an account gets, and for how long.
struct endpoint_settings
{
  /// Addresses of an account with little demand.
  std::size_t mMinimum = 3;
  std::size_t mMaximum = 32;
  /// Nodes per unit of demand above an even share: an account with a tenth of
  /// the demand gets this times a tenth of the nodes.
  double mHeadroom = 1.5;
  /// How long a caller may use an answer.
  std::chrono::seconds mLifetime{ 30 };
  auto operator<=>(const endpoint_settings&) const = default;
};

struct endpoint_query
{
  account_id mAccount;
  /// The account's share of the fleet's demand, 0 to 1.
  double mDemand = 0;
  /// Zone of the caller, when it told.
  std::optional<zone_id> mZone;
};

struct endpoint_answer
{
  /// Nodes in the order in which the caller should try them.
  std::vector<member> mNodes;
  /// For the caller's cache; a response states a period, not a deadline.
  std::chrono::seconds mLifetime{ 0 };
  auto operator<=>(const endpoint_answer&) const = default;
};

/// Maps accounts to nodes by rendezvous hashing, so that nodes that come and
/// go move few accounts. Holds a copy of the members; pure.
class endpoint_selector
{
public:
  explicit endpoint_selector(endpoint_settings aSettings = {});

  /// Replaces the members; cheap to call whenever the membership version
  /// changes. Leaving and dead nodes are dropped here.
  void SetMembers(const std::vector<member>& aMembers);
  /// Addresses for an account; empty only when no node takes work.
  endpoint_answer Select(const endpoint_query& aQuery) const;
  /// Members in other zones than `aSelf`, preferred first: own region before
  /// others, alive before suspect. The order differs from node to node and
  /// hardly changes when members come and go.
  std::vector<member> BackupCandidates(const node_id& aSelf) const;

private:
  std::optional<region_id> RegionOf(const zone_id& aZone) const;
  std::size_t Width(double aDemand, std::size_t aNodes) const;

  endpoint_settings mSettings;
  std::vector<member> mAll;
  /// Those that take new work.
  std::vector<member> mMembers;
};
