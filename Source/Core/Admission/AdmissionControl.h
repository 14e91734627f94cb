#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "Admission/OfferedCosts.h"
#include "Common/Time.h"

/// Load of the servers of one service, as far as the node knows it.
struct service_load
{
  /// Requests that the limits of the servers allow, and requests that they
  /// have, of all nodes.
  double mPlaces = 0.0;
  double mTaken = 0.0;
  /// Whether requests wait for longer than their objective allows.
  bool mWaiting = false;
  auto operator<=>(const service_load&) const = default;
};

/// A request that is to be admitted or refused.
struct shed_query
{
  /// See `ServiceKey` and `AdmissionAccountKey`.
  std::uint16_t mService = 0;
  std::uint32_t mAccount = 0;
  /// 0 is the most urgent.
  int mRank = 0;
  /// Prompt tokens + 10 x output tokens; 1 for plain services.
  double mCost = 1.0;
  /// Hash of account, path and body, the same when the client comes back.
  std::uint64_t mContent = 0;
  /// Longest delay after which the client comes back and can be served in time.
  std::chrono::milliseconds mMaxDelay{ 0 };
};

struct shed_decision
{
  bool mAdmit = true;
  /// When the client will be admitted, from now on; nothing if it need not
  /// come back, or if the node cannot promise it.
  std::optional<std::chrono::milliseconds> mComeBack;
  /// Share of the account's requests that is admitted at once.
  double mShare = 1.0;
  /// Position of the request in the hash range, 0 to 1.
  double mPosition = 0.0;
};

/// State of a service in the log.
struct admission_state
{
  std::uint16_t mService = 0;
  bool mInForce = false;
  /// Capacity of the servers in cost a second; 0 while not in force.
  double mCapacity = 0.0;
  /// Share of each rank that is admitted at once.
  std::map<int, double> mShareByRank;
};

/// Decides which requests of an overloaded service are admitted.
///
/// All nodes report what clients offer them and compute the same shares by rank
/// and account. Requests with a hash inside an interval are admitted. The front
/// of the interval moves through the hash range once in 4 s by the clock of the
/// store, and its width is the share. The front does not depend on the share,
/// so the time at which it reaches a refused request is known in advance,
/// whatever the share will be, and the client may come back at any node.
class admission_control
{
public:
  /// Counts the request as demand and decides. `aClock` is the time of the
  /// store; without it the node uses `aNow` and promises nothing.
  shed_decision Decide(const shed_query& aQuery,
                       std::optional<std::chrono::milliseconds> aClock,
                       time_point aNow);
  /// A request of the service ended after it held a slot for `aTook`.
  void OnCompleted(std::uint16_t aService,
                   double aCost,
                   std::chrono::microseconds aTook,
                   time_point aNow);
  /// A request found no place, or would wait for longer than its objective
  /// allows. The service counts as full for 250 ms.
  void OnNoRoom(std::uint16_t aService, time_point aNow);
  void SetLoad(std::uint16_t aService,
               const service_load& aLoad,
               time_point aNow);
  /// A peer reports its costs. `aPeer` identifies it.
  void OnReport(std::uint32_t aPeer,
                const std::vector<offered_cost>& aCosts,
                time_point aNow);
  /// Costs of this node at services that are nearly full, for its report, the
  /// largest first.
  std::vector<offered_cost> Report(time_point aNow);
  /// Computes the shares, with the number of live nodes, this one included.
  /// Called when reports are exchanged.
  void Update(std::size_t aLiveNodes, time_point aNow);

  bool InForce(std::uint16_t aService) const;
  /// Services whose shares or state changed since the last call, at most once a
  /// second for each.
  std::vector<admission_state> TakeChanges(time_point aNow);

private:
  /// Sum whose summands fade with time.
  struct faded_sum
  {
    double mSum = 0.0;
    time_point mAt;
    void Add(double aValue, time_point aNow);
    /// Summands a second.
    double Rate(time_point aNow) const;
  };
  /// Rank and account; no account stands for all that have no own entry.
  using demand_key = std::pair<int, std::optional<std::uint32_t>>;
  struct demand_record
  {
    faded_sum mOffered;
    faded_sum mPromised;
  };
  struct share
  {
    /// Width of the interval.
    double mWidth = 1.0;
    /// Distance ahead of the front within which a client is told to come back.
    double mPromiseWidth = 0.0;
    /// Width of the interval that is kept for clients that were told to come
    /// back, if the share shrinks.
    double mReservedWidth = 0.0;
  };
  struct service_record
  {
    std::map<demand_key, demand_record> mDemand;
    faded_sum mCompletedCost;
    /// Number of requests that `mCompletedCost` adds up.
    faded_sum mCompleted;
    faded_sum mSlotSeconds;
    service_load mLoad;
    time_point mLoadAt;
    /// Places that are gained a second, averaged over the last loads. Negative
    /// while places are lost.
    double mPlacesTrend = 0.0;
    /// Until when the load counts as known.
    time_point mLoadUntil;
    /// Until when requests count as waiting.
    time_point mNoRoomUntil;
    /// When the service will count as overloaded, or no longer, if its load
    /// stays as it is.
    std::optional<time_point> mStartsAt;
    std::optional<time_point> mEndsAt;
    bool mInForce = false;
    /// Integral part of the correction of the capacity by how full the servers
    /// are.
    double mIntegral = 0.0;
    /// Cost a second that the servers complete if all places are taken, and
    /// that is admitted.
    double mFullCapacity = 0.0;
    double mCapacity = 0.0;
    std::map<demand_key, share> mShares;
    time_point mUpdatedAt;
    time_point mNextChangeAt;
    std::optional<admission_state> mStated;
  };
  struct peer_record
  {
    std::vector<offered_cost> mCosts;
    time_point mValidUntil;
  };
  struct total_demand
  {
    double mOffered = 0.0;
    double mPromised = 0.0;
    double mAccounts = 0.0;
  };
  struct fleet_demand
  {
    std::map<demand_key, total_demand> mDemand;
    double mCompletedCost = 0.0;
    double mSlotSeconds = 0.0;
  };

  fleet_demand FleetDemand(std::uint16_t aService,
                           const service_record& aRecord,
                           std::size_t aLiveNodes,
                           time_point aNow) const;
  void UpdateService(std::uint16_t aService,
                     service_record& aRecord,
                     std::size_t aLiveNodes,
                     time_point aNow);
  /// Updates the trend of the places. Called before the load is replaced.
  static void UpdateTrend(service_record& aRecord,
                          double aPlaces,
                          time_point aNow);
  /// Cost a second that must not be admitted because places are being lost.
  static double CostOfLostPlaces(const service_record& aRecord,
                                 const fleet_demand& aDemand,
                                 time_point aNow);
  static void UpdateCapacity(service_record& aRecord,
                             const fleet_demand& aDemand,
                             time_point aNow);
  static void UpdateShares(service_record& aRecord,
                           const fleet_demand& aDemand);
  /// Ends the overload of the service.
  static void End(service_record& aRecord);
  static demand_record& Demand(service_record& aRecord,
                               const shed_query& aQuery,
                               time_point aNow);
  static const share* FindShare(const service_record& aRecord,
                                int aRank,
                                std::uint32_t aAccount);
  static admission_state State(std::uint16_t aService,
                               const service_record& aRecord);

  std::map<std::uint16_t, service_record> mServices;
  std::map<std::uint32_t, peer_record> mPeers;
};
