#include "Endpoints/EndpointChoice.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

#include "Common/Hash.h"

namespace {

using std::chrono::milliseconds;

// A host that was not heard of for this long is taken for dead. It covers six
// rounds of reports, so that single lost datagrams do not matter.
constexpr milliseconds kRunningTimeout(1300);
// A node that hears no peer names hosts up to this age beside itself.
constexpr milliseconds kNamingTimeout(3000);
// Hosts that were heard of within this time count for the size of the fleet, so
// that the loss of many hosts does not change how answers are made.
constexpr milliseconds kFleetTimeout(60000);
// A fleet of at most this many hosts names all of them.
constexpr std::size_t kMaxSmallFleet = 16;
// Smallest number of addresses, if there are as many hosts.
constexpr std::size_t kMinAddresses = 3;
// Clients use at most this many addresses of an answer.
constexpr std::size_t kMaxAddresses = 64;
// Hosts of at least this share of the largest capacity are of one class.
constexpr double kClassShare = 0.5;
// Mean use that the chosen hosts are sized for. A large account on one of them
// adds nearly as much again.
constexpr double kTargetUse = 0.4;
// A host with less use is chosen before others that are nearer.
constexpr double kRoomUse = 0.5;
// Smallest share of the fleet's capacity that is named while the use is not
// known. Hosts of a further class join within a second of overload, but leave a
// few at a time, and until then large accounts fail at them.
constexpr double kUnknownShare = 0.2;
// An older statement of use is ignored. In a fleet of 340 nodes a node hears
// from a given peer every 4.2 s on average.
constexpr milliseconds kUseTimeout(10000);
constexpr milliseconds kUpdateInterval(1000);
// Time until clients have followed an answer, some of which keep it for 3 s,
// and until the use that results from it is reported.
constexpr milliseconds kExchangeInterval(4000);
constexpr milliseconds kDropInterval(5000);
// The same while hosts of a smaller class than needed are named, at which large
// accounts fail.
constexpr milliseconds kSmallHostDropInterval(2000);
constexpr milliseconds kDemandHoldTime(10000);
constexpr milliseconds kObservationTime(10000);
// Factor by which the demand falls at each update.
constexpr double kDemandDecay = 0.9;
// A host that comes back displaces others only after this time.
constexpr milliseconds kSteadyTime(3000);
// One in this number of the chosen hosts may change at a time.
constexpr std::size_t kExchangeDivisor = 3;

/// A host that may be chosen, with its place in the order of choice.
struct candidate
{
  const endpoint_host* mHost = nullptr;
  /// 0 for the class of the largest capacity.
  std::size_t mClass = 0;
  std::tuple<std::size_t, bool, unsigned, std::uint64_t, std::uint64_t> mOrder;
};

/// Hosts of like capacity.
struct capacity_class
{
  double mLargest = 0.0;
  double mSmallest = 0.0;
  double mSum = 0.0;
  std::size_t mHosts = 0;
};

/// Classes in descending order of capacity.
std::vector<capacity_class> Classes(const std::vector<endpoint_host>& aHosts)
{
  std::vector<double> capacities;
  capacities.reserve(aHosts.size());
  for (const endpoint_host& host : aHosts) {
    capacities.push_back(host.mCapacity);
  }
  std::ranges::sort(capacities, std::greater());
  std::vector<capacity_class> classes;
  for (const double capacity : capacities) {
    if (classes.empty() || capacity < classes.back().mLargest * kClassShare) {
      classes.push_back({ capacity, capacity, 0.0, 0 });
    }
    capacity_class& last = classes.back();
    last.mSmallest = capacity;
    last.mSum += capacity;
    ++last.mHosts;
  }
  return classes;
}

std::optional<double> CurrentUse(const endpoint_host& aHost, time_point aNow)
{
  return aNow <= aHost.mUseAt + kUseTimeout ? aHost.mUse : std::nullopt;
}

/// Number of hosts, in the order of choice, that carry the demand. All
/// addresses of an answer get equal shares, so that the smallest class in it
/// decides.
std::size_t NeededHosts(const std::vector<capacity_class>& aClasses,
                        const std::optional<double>& aDemand)
{
  double all = 0.0;
  for (const capacity_class& entry : aClasses) {
    all += entry.mSum;
  }
  std::size_t hosts = 0;
  double sum = 0.0;
  for (const capacity_class& entry : aClasses) {
    hosts += entry.mHosts;
    sum += entry.mSum;
    if (!aDemand) {
      if (sum >= all * kUnknownShare) {
        break;
      }
      continue;
    }
    const double needed =
      entry.mSmallest > 0.0
        ? std::ceil(*aDemand / (kTargetUse * entry.mSmallest))
        : static_cast<double>(hosts) + 1.0;
    if (needed <= static_cast<double>(hosts)) {
      hosts = static_cast<std::size_t>(needed);
      break;
    }
  }
  return std::max(hosts, kMinAddresses);
}

/// Traffic on the hosts in units of capacity. Hosts of unknown use count with
/// the mean use of the others; nothing if no use is known.
std::optional<double> Demand(const std::vector<const endpoint_host*>& aHosts,
                             time_point aNow)
{
  double traffic = 0.0;
  double known = 0.0;
  double all = 0.0;
  for (const endpoint_host* host : aHosts) {
    all += host->mCapacity;
    if (const auto use = CurrentUse(*host, aNow)) {
      traffic += *use * host->mCapacity;
      known += host->mCapacity;
    }
  }
  return known > 0.0 ? std::optional(traffic * all / known) : std::nullopt;
}

bool Contains(const std::vector<std::string>& aAddresses,
              const std::string& aAddress)
{
  return std::ranges::find(aAddresses, aAddress) != aAddresses.end();
}

/// Addresses of the second list that the first lacks.
std::vector<std::string> Missing(const std::vector<std::string>& aFirst,
                                 const std::vector<std::string>& aSecond)
{
  std::vector<std::string> missing;
  std::ranges::copy_if(
    aSecond, std::back_inserter(missing), [&](const std::string& aAddress) {
      return !Contains(aFirst, aAddress);
    });
  return missing;
}

/// Hosts that have not left the answers, in the order of choice: capacity
/// class, room, distance from the zone, then rendezvous hashing.
std::vector<candidate> Candidates(const std::vector<endpoint_host>& aHosts,
                                  const zone_id& aZone,
                                  const std::vector<std::string>& aChosen,
                                  time_point aNow)
{
  const auto classes = Classes(aHosts);
  region_id region;
  for (const endpoint_host& host : aHosts) {
    if (host.mZone == aZone) {
      region = host.mRegion;
    }
  }
  std::vector<candidate> candidates;
  for (const endpoint_host& host : aHosts) {
    if (host.mLeftAnswers) {
      continue;
    }
    const auto found = std::ranges::find_if(classes, [&](const auto& aClass) {
      return host.mCapacity >= aClass.mSmallest;
    });
    const auto index =
      static_cast<std::size_t>(std::distance(classes.begin(), found));
    const bool full = CurrentUse(host, aNow).value_or(0.0) >= kRoomUse &&
                      !Contains(aChosen, host.mAddress);
    const bool sameZone = host.mZone == aZone && !aZone.mName.empty();
    const unsigned distance = sameZone ? 0 : host.mRegion == region ? 1 : 2;
    candidates.push_back({ &host,
                           index,
                           { index,
                             full,
                             distance,
                             ~RendezvousWeight(aZone.mName, host.mZone.mName),
                             ~RendezvousWeight(aZone.mName, host.mAddress) } });
  }
  std::ranges::sort(candidates, {}, &candidate::mOrder);
  return candidates;
}

std::size_t ChangesAtOnce(std::size_t aChosen)
{
  return std::max<std::size_t>(1, aChosen / kExchangeDivisor);
}

/// Hosts that an answer may name, by their age.
std::vector<endpoint_host> UsableHosts(const endpoint_view& aView,
                                       time_point aNow)
{
  const milliseconds maxAge =
    aView.mPeersRun ? kRunningTimeout : kNamingTimeout;
  std::vector<endpoint_host> usable;
  for (const endpoint_host& host : aView.mHosts) {
    if (aNow < host.mHeardAt + maxAge) {
      usable.push_back(host);
    }
  }
  return usable;
}

std::vector<std::string> ClientAddresses(
  const std::vector<endpoint_host>& aHosts)
{
  std::vector<std::string> addresses;
  addresses.reserve(aHosts.size());
  for (const endpoint_host& host : aHosts) {
    addresses.push_back(host.mClientAddress);
  }
  return addresses;
}

/// As many addresses as clients use, of hosts with room first, then of the
/// nearest ones.
std::vector<std::string> NearestAddresses(
  const std::vector<endpoint_host>& aHosts,
  const zone_id& aZone,
  time_point aNow)
{
  std::vector<std::string> addresses;
  for (const candidate& entry : Candidates(aHosts, aZone, {}, aNow)) {
    if (addresses.size() < kMaxAddresses) {
      addresses.push_back(entry.mHost->mClientAddress);
    }
  }
  for (const endpoint_host& host : aHosts) {
    if (addresses.size() < kMaxAddresses && host.mLeftAnswers) {
      addresses.push_back(host.mClientAddress);
    }
  }
  return addresses;
}

} // namespace

std::vector<endpoint_change> endpoint_choice::Update(const endpoint_view& aView,
                                                     time_point aNow)
{
  mNextUpdateAt = aNow + kUpdateInterval;
  std::vector<endpoint_host> fleet;
  std::ranges::copy_if(
    aView.mHosts, std::back_inserter(fleet), [&](const endpoint_host& aHost) {
      return aNow < aHost.mHeardAt + kFleetTimeout;
    });
  mSelective = fleet.size() > kMaxSmallFleet && Classes(fleet).size() > 1;
  if (!mSelective) {
    mZones.clear();
    mSteadyAt.clear();
    return {};
  }
  const auto running = UsableHosts(aView, aNow);
  UpdateSteadiness(running, aNow);
  std::set<zone_id> zones{ zone_id() };
  for (const endpoint_host& host : fleet) {
    zones.insert(host.mZone);
  }
  std::erase_if(
    mZones, [&](const auto& aPair) { return !zones.contains(aPair.first); });
  std::vector<endpoint_change> changes;
  for (const zone_id& zone : zones) {
    const auto [found, added] = mZones.try_emplace(zone);
    if (added) {
      found->second.mObservedAt = aNow + kObservationTime;
    }
    zone_choice& choice = found->second;
    const auto before = choice.mChosen;
    UpdateZone(zone, choice, running, aNow);
    endpoint_change change{ zone,
                            Missing(before, choice.mChosen),
                            Missing(choice.mChosen, before),
                            choice.mChosen.size(),
                            choice.mDemand };
    if (!change.mAdded.empty() || !change.mDropped.empty()) {
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

void endpoint_choice::UpdateSteadiness(
  const std::vector<endpoint_host>& aRunning,
  time_point aNow)
{
  const bool first = mSteadyAt.empty();
  std::map<std::string, time_point> steadyAt;
  for (const endpoint_host& host : aRunning) {
    if (host.mLeftAnswers) {
      continue;
    }
    const auto known = mSteadyAt.find(host.mAddress);
    const time_point begin = first ? aNow : aNow + kSteadyTime;
    steadyAt[host.mAddress] = known == mSteadyAt.end() ? begin : known->second;
  }
  mSteadyAt = std::move(steadyAt);
}

bool endpoint_choice::IsSteady(const endpoint_host& aHost,
                               time_point aNow) const
{
  const auto found = mSteadyAt.find(aHost.mAddress);
  return found != mSteadyAt.end() && aNow >= found->second;
}

void endpoint_choice::UpdateZone(const zone_id& aZone,
                                 zone_choice& aChoice,
                                 const std::vector<endpoint_host>& aRunning,
                                 time_point aNow) const
{
  std::vector<const endpoint_host*> chosenHosts;
  for (const endpoint_host& host : aRunning) {
    if (Contains(aChoice.mChosen, host.mAddress)) {
      chosenHosts.push_back(&host);
    }
  }
  const auto demand = Demand(chosenHosts, aNow);
  if (demand && (!aChoice.mDemand || *demand >= *aChoice.mDemand)) {
    aChoice.mDemand = demand;
    aChoice.mDemandFallsAt = aNow + kDemandHoldTime;
  } else if (demand && aNow >= aChoice.mDemandFallsAt) {
    aChoice.mDemand = std::max(*demand, *aChoice.mDemand * kDemandDecay);
  }

  const auto candidates = Candidates(aRunning, aZone, aChoice.mChosen, aNow);
  std::vector<endpoint_host> choosable;
  choosable.reserve(candidates.size());
  for (const candidate& entry : candidates) {
    choosable.push_back(*entry.mHost);
  }
  const auto classes = Classes(choosable);
  std::size_t needed = NeededHosts(classes, aChoice.mDemand);
  if (aNow < aChoice.mObservedAt) {
    // Traffic that comes back after a loss of all hosts is not seen yet.
    needed = std::max(needed, NeededHosts(classes, std::nullopt));
  }
  needed = std::min(needed, candidates.size());

  std::erase_if(aChoice.mChosen, [&](const std::string& aAddress) {
    return std::ranges::none_of(candidates, [&](const candidate& aEntry) {
      return aEntry.mHost->mAddress == aAddress;
    });
  });
  const auto add = [&](std::size_t aCount, bool aSteadyOnly) {
    for (const candidate& entry : candidates) {
      if (aCount == 0) {
        return;
      }
      const std::string& address = entry.mHost->mAddress;
      if (!Contains(aChoice.mChosen, address) &&
          (!aSteadyOnly || IsSteady(*entry.mHost, aNow))) {
        aChoice.mChosen.push_back(address);
        --aCount;
      }
    }
  };
  const auto missing = [&] {
    return needed - std::min(needed, aChoice.mChosen.size());
  };
  add(missing(), true);
  add(missing(), false);

  // The first hosts of the order displace others, a few at a time.
  std::vector<std::string> ideal;
  std::size_t smallestClass = 0;
  for (const candidate& entry : candidates) {
    if (ideal.size() < needed && IsSteady(*entry.mHost, aNow)) {
      ideal.push_back(entry.mHost->mAddress);
      smallestClass = entry.mClass;
    }
  }
  const bool smallNamed =
    std::ranges::any_of(candidates, [&](const auto& aEntry) {
      return aEntry.mClass > smallestClass &&
             Contains(aChoice.mChosen, aEntry.mHost->mAddress);
    });
  std::size_t surplus = 0;
  for (const std::string& address : aChoice.mChosen) {
    surplus += Contains(ideal, address) ? 0 : 1;
  }
  const auto dropLast = [&] {
    for (auto entry = candidates.rbegin(); entry != candidates.rend();
         ++entry) {
      const std::string& address = entry->mHost->mAddress;
      if (!Contains(ideal, address) &&
          std::erase(aChoice.mChosen, address) > 0) {
        return;
      }
    }
  };
  if (aNow >= aChoice.mNextExchangeAt && surplus > 0) {
    std::size_t exchanges = ChangesAtOnce(aChoice.mChosen.size());
    for (const std::string& address : ideal) {
      if (exchanges > 0 && !Contains(aChoice.mChosen, address)) {
        aChoice.mChosen.push_back(address);
        dropLast();
        --exchanges;
        aChoice.mNextExchangeAt = aNow + kExchangeInterval;
      }
    }
  }
  if (aChoice.mChosen.size() > needed && aNow >= aChoice.mNextDropAt) {
    const std::size_t drops = std::min(aChoice.mChosen.size() - needed,
                                       ChangesAtOnce(aChoice.mChosen.size()));
    for (std::size_t i = 0; i < drops; ++i) {
      dropLast();
    }
    aChoice.mNextDropAt =
      aNow + (smallNamed ? kSmallHostDropInterval : kDropInterval);
  }
}

std::vector<std::string> endpoint_choice::Addresses(const endpoint_view& aView,
                                                    const zone_id& aZone,
                                                    time_point aNow) const
{
  const auto usable = UsableHosts(aView, aNow);
  if (usable.empty() && !aView.mPeersRun) {
    // A node that neither serves nor hears of any other is more likely cut off
    // than alone, and names what it knew.
    return ClientAddresses(aView.mHosts);
  }
  auto zone = mZones.find(aZone);
  if (zone == mZones.end()) {
    zone = mZones.find(zone_id());
  }
  if (!mSelective || zone == mZones.end()) {
    return usable.size() <= kMaxAddresses
             ? ClientAddresses(usable)
             : NearestAddresses(usable, aZone, aNow);
  }
  std::vector<std::string> addresses;
  const auto& chosen = zone->second.mChosen;
  auto candidates = Candidates(usable, aZone, chosen, aNow);
  if (chosen.size() > kMaxAddresses) {
    std::ranges::sort(candidates, {}, [&](const candidate& aEntry) {
      return std::tuple(aEntry.mClass,
                        RendezvousWeight(mSelf, aEntry.mHost->mAddress));
    });
  }
  for (const candidate& entry : candidates) {
    if (addresses.size() < kMaxAddresses &&
        Contains(chosen, entry.mHost->mAddress)) {
      addresses.push_back(entry.mHost->mClientAddress);
    }
  }
  // Hosts lost since the last update are replaced at once.
  for (const candidate& entry : candidates) {
    if (addresses.size() <
          std::clamp(chosen.size(), kMinAddresses, kMaxAddresses) &&
        !Contains(chosen, entry.mHost->mAddress)) {
      addresses.push_back(entry.mHost->mClientAddress);
    }
  }
  std::vector<endpoint_host> full;
  std::ranges::copy_if(
    usable, std::back_inserter(full), &endpoint_host::mLeftAnswers);
  std::ranges::sort(full, {}, [](const endpoint_host& aHost) {
    return std::tuple(aHost.mUse.value_or(1.0), -aHost.mCapacity);
  });
  for (const endpoint_host& host : full) {
    if (addresses.size() < kMinAddresses) {
      addresses.push_back(host.mClientAddress);
    }
  }
  return addresses;
}
