#pragma once

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/Identity.h"
#include "Common/Time.h"

/// Decides which hosts an address answer names. Does no input or output.

/// What a node knows of a host that was ready for clients when it last
/// reported.
struct endpoint_host
{
  /// Address for datagrams, `IP:port`; identifies the host.
  std::string mAddress;
  /// Address for clients, `IP:port`.
  std::string mClientAddress;
  /// Empty if the host does not state them.
  zone_id mZone;
  region_id mRegion;
  /// Capacity relative to other hosts, see `gateway_settings`.
  double mCapacity = 1.0;
  /// Busier one of link and processor as a share of the host's capacity, and
  /// when the host stated it; nothing if it did not.
  std::optional<double> mUse;
  time_point mUseAt;
  /// The host is close to its limit and asked to be left out.
  bool mLeftAnswers = false;
  /// Last time the host was heard of, directly or through another node. The
  /// node that answers gives the current time for itself.
  time_point mHeardAt;
  auto operator<=>(const endpoint_host&) const = default;
};

/// What a node knows of the fleet.
struct endpoint_view
{
  std::vector<endpoint_host> mHosts;
  /// Whether another node is known to run, ready for clients or not.
  bool mPeersRun = false;
  auto operator<=>(const endpoint_view&) const = default;
};

/// A change of the hosts that answers to clients of a zone name.
struct endpoint_change
{
  zone_id mZone;
  /// Datagram addresses.
  std::vector<std::string> mAdded;
  std::vector<std::string> mDropped;
  /// Number of chosen hosts after the change.
  std::size_t mChosen = 0;
  /// Traffic that they were chosen for, in units of capacity.
  std::optional<double> mDemand;
  auto operator<=>(const endpoint_change&) const = default;
};

/// Chooses the hosts for the clients of each availability zone.
///
/// A large client account keeps to one or two hosts of an answer, so each named
/// host must carry a whole account. Hosts are taken from the class of the
/// largest capacity, and from smaller classes only if the traffic needs them.
/// In a fleet of at most 16 hosts, or of hosts of one class, answers name all
/// hosts that run, but no more than 64.
class endpoint_choice
{
public:
  /// `aSelf` is the datagram address of the node that answers. If more hosts
  /// are chosen than clients use, each node names other ones.
  explicit endpoint_choice(std::string aSelf = {})
    : mSelf(std::move(aSelf))
  {
  }

  /// Whether `Update` is due, once a second.
  bool NeedsUpdate(time_point aNow) const { return aNow >= mNextUpdateAt; }
  /// Adapts the chosen hosts to use and losses, and returns what changed. An
  /// empty list as well if answers name all hosts.
  std::vector<endpoint_change> Update(const endpoint_view& aView,
                                      time_point aNow);
  /// Client addresses for an answer to clients of `aZone`, which is empty or
  /// unknown if the client names none. Empty if no host is known.
  std::vector<std::string> Addresses(const endpoint_view& aView,
                                     const zone_id& aZone,
                                     time_point aNow) const;
  /// Whether answers name only chosen hosts, by the last `Update`.
  bool IsSelective() const { return mSelective; }

private:
  /// Choice for the clients of one zone.
  struct zone_choice
  {
    /// Datagram addresses of the chosen hosts.
    std::vector<std::string> mChosen;
    /// Largest recent traffic on the chosen hosts, in units of capacity;
    /// nothing if no host stated its use.
    std::optional<double> mDemand;
    /// From this time on the demand may fall.
    time_point mDemandFallsAt;
    /// Earliest time at which hosts may be exchanged, and dropped.
    time_point mNextExchangeAt;
    time_point mNextDropAt;
    /// From this time on the demand decides how many hosts are chosen.
    time_point mObservedAt;
  };

  void UpdateZone(const zone_id& aZone,
                  zone_choice& aChoice,
                  const std::vector<endpoint_host>& aRunning,
                  time_point aNow) const;
  void UpdateSteadiness(const std::vector<endpoint_host>& aRunning,
                        time_point aNow);
  bool IsSteady(const endpoint_host& aHost, time_point aNow) const;

  std::string mSelf;
  /// By zone of the fleet's hosts, and the empty zone.
  std::map<zone_id, zone_choice> mZones;
  /// Times from which on hosts that run may displace others, by datagram
  /// address.
  std::map<std::string, time_point> mSteadyAt;
  time_point mNextUpdateAt;
  bool mSelective = false;
};
