#include "Gateway/StreamOrigins.h"

#include <algorithm>
#include <functional>
#include <utility>

#include <fmt/format.h>

#include "Common/Hash.h"
#include "Gateway/FleetView.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Limit of the records: 30 s of four copies of all streams of a node at the
// peak load of the largest fleet are a tenth of it.
constexpr std::size_t kMaxRecords = 30000;
// Age up to which streams are copied when it turns out that their service has
// several versions. Older ones have mostly ended.
constexpr seconds kMaxCopyAge(10);
// Number of nodes that keep a copy, and of nodes that are asked. The second is
// larger because nodes that started since move the choice.
constexpr std::size_t kReplicas = 3;
constexpr std::size_t kMaxAsked = 6;
// Time for answers, and interval of queries, because datagrams are lost.
constexpr milliseconds kLookupTimeout(150);
constexpr milliseconds kQueryInterval(40);
// Limit of the lookups in progress.
constexpr std::size_t kMaxLookups = 2000;
// Without contact to the store for longer, servers of another version may serve
// unknown to this node. Polls reply within 1.4 s.
constexpr milliseconds kStoreContactTimeout(2000);
// Number of nodes of which one must answer. Each of the first two that are
// asked keeps a copy or has begun the stream itself; the third copy may be that
// of the asking node.
constexpr std::size_t kSureReplicas = kReplicas - 1;
// Time in which a node hears of all others after a cut: three rounds of
// reports.
constexpr milliseconds kPeersCompleteTime(600);
// Time for which the first resumption of a stream is remembered. Server entries
// of a node in contact with the store are at most 1.4 s old.
constexpr seconds kFirstResumedTime(5);
// Limit of the records in a notice, so that it fits an unfragmented datagram.
constexpr std::size_t kMaxNoticeRecords = 50;

} // namespace

stream_key StreamKey(std::string_view aRequestId)
{
  return StableHash(aRequestId);
}

software_key SoftwareKey(const service_id& aService,
                         const software_version& aSoftware)
{
  const software_key key =
    StableHash(aSoftware.mName, StableHash(aService.mName));
  return std::clamp<software_key>(key, 1, kSeveralSoftware - 1);
}

void stream_origins::SetPeers(std::vector<std::string> aPeers, time_point aNow)
{
  // After a cut, the first peers that are heard need not be those that keep the
  // copies. Single nodes that start do not matter in a larger fleet.
  if (aPeers.size() > mPeers.size() && aPeers.size() >= 2 * mPeers.size()) {
    mPeersCompleteAt = aNow + kPeersCompleteTime;
  }
  mPeers = std::move(aPeers);
}

void stream_origins::OnServer(const service_id& aService,
                              const software_version& aSoftware,
                              time_point aNow)
{
  mSoftware[aService][SoftwareKey(aService, aSoftware)] = aNow;
}

void stream_origins::OnTick(time_point aStoreContact, time_point aNow)
{
  // A process that was suspended has read nothing meanwhile, even if it reads a
  // reply of the store before the next tick.
  const bool suspended =
    mLastTickAt && aNow >= *mLastTickAt + kStoreContactTimeout;
  mLastTickAt = aNow;
  if (suspended || aNow >= aStoreContact + kStoreContactTimeout) {
    mWatchingSince.reset();
  } else if (!mWatchingSince) {
    mWatchingSince = aNow;
  }
  for (auto& [service, known] : mSoftware) {
    std::erase_if(known, [aNow](const auto& aPair) {
      return aNow >= aPair.second + kStreamLifetime;
    });
  }
  std::erase_if(mSoftware,
                [](const auto& aPair) { return aPair.second.empty(); });
  while (!mExpiry.empty() && aNow >= mExpiry.front().first) {
    const auto found = mRecords.find(mExpiry.front().second);
    if (found != mRecords.end() && aNow >= found->second.mExpiresAt) {
      mRecords.erase(found);
    }
    mExpiry.pop_front();
  }
  while (!mNotCopied.empty() &&
         aNow >= mNotCopied.front().mBeganAt + kMaxCopyAge) {
    mNotCopied.pop_front();
  }
  std::erase_if(mNotCopied, [&](const own_record& aRecord) {
    const bool copy = OnlySoftware({ aRecord.mService }, aNow) == 0;
    if (copy) {
      mToCopy.push_back(aRecord);
    }
    return copy;
  });
  std::erase_if(mLookups, [aNow](const auto& aPair) {
    return aNow >= aPair.second.mExpiresAt;
  });
  std::erase_if(mFirstResumed, [aNow](const auto& aPair) {
    return aNow >= aPair.second + kFirstResumedTime;
  });
}

software_key stream_origins::OnlySoftware(
  const std::vector<service_id>& aServices,
  time_point aNow) const
{
  if (!mWatchingSince || aNow < *mWatchingSince + kStreamLifetime) {
    return 0;
  }
  const std::set<software_key> known = KnownSoftware(aServices);
  return known.size() == 1 ? *known.begin() : 0;
}

std::set<software_key> stream_origins::KnownSoftware(
  const std::vector<service_id>& aServices) const
{
  std::set<software_key> all;
  for (const service_id& service : aServices) {
    const auto known = mSoftware.find(service);
    if (known == mSoftware.end()) {
      continue;
    }
    for (const auto& [software, lastKnownAt] : known->second) {
      all.insert(software);
    }
  }
  return all;
}

time_point stream_origins::BegunBy(stream_key aStream, time_point aSince)
{
  // Clients that name no stream all have the same key.
  if (aStream == StreamKey({})) {
    return aSince;
  }
  if (const auto found = mFirstResumed.find(aStream);
      found != mFirstResumed.end()) {
    return found->second;
  }
  if (mFirstResumed.size() < kMaxLookups) {
    mFirstResumed.emplace(aStream, aSince);
  }
  return aSince;
}

void stream_origins::Insert(stream_key aStream,
                            software_key aSoftware,
                            time_point aBeganAt)
{
  const time_point expiresAt = aBeganAt + kStreamLifetime;
  if (!mRecords.try_emplace(aStream, record{ aSoftware, aBeganAt, expiresAt })
         .second) {
    return;
  }
  mExpiry.emplace_back(expiresAt, aStream);
  if (mRecords.size() > kMaxRecords) {
    mRecords.erase(mExpiry.front().second);
    mExpiry.pop_front();
  }
}

void stream_origins::Record(stream_key aStream,
                            const service_id& aService,
                            software_key aSoftware,
                            time_point aNow)
{
  if (mRecords.contains(aStream)) {
    return;
  }
  Insert(aStream, aSoftware, aNow);
  if (OnlySoftware({ aService }, aNow) == 0) {
    mToCopy.push_back({ aStream, aService, aNow });
    return;
  }
  mNotCopied.push_back({ aStream, aService, aNow });
  if (mNotCopied.size() > kMaxRecords) {
    mNotCopied.pop_front();
  }
}

std::vector<std::string> stream_origins::Replicas(stream_key aStream,
                                                  std::size_t aMaxCount) const
{
  const std::string key = fmt::format("{:016x}", aStream);
  std::vector<std::pair<std::uint64_t, std::string>> order;
  order.reserve(mPeers.size());
  for (const std::string& peer : mPeers) {
    order.emplace_back(RendezvousWeight(key, peer), peer);
  }
  const std::size_t count = std::min(aMaxCount, order.size());
  std::ranges::partial_sort(
    order, order.begin() + static_cast<std::ptrdiff_t>(count), std::greater());
  std::vector<std::string> replicas;
  for (std::size_t i = 0; i < count; ++i) {
    replicas.push_back(std::move(order[i].second));
  }
  return replicas;
}

stream_lookup stream_origins::Lookup(stream_key aStream,
                                     const std::vector<service_id>& aServices,
                                     time_point aServersCurrentAt,
                                     time_point aSince,
                                     time_point aNow)
{
  const auto known = mRecords.find(aStream);
  if (known != mRecords.end()) {
    mLookups.erase(aStream);
    return { stream_lookup::state::Known, known->second.mSoftware, "record" };
  }
  const software_key only = OnlySoftware(aServices, aNow);
  const time_point begunBy = BegunBy(aStream, aSince);
  // After a suspension, the tick that ends the certainty may still be due.
  const bool ticks = mLastTickAt && aNow < *mLastTickAt + kStoreContactTimeout;
  if (only != 0 && ticks && aServersCurrentAt >= begunBy) {
    return { stream_lookup::state::Known, only, "only_version" };
  }
  return Ask(aStream, aServices, aSince, aNow);
}

stream_lookup stream_origins::Ask(stream_key aStream,
                                  const std::vector<service_id>& aServices,
                                  time_point aSince,
                                  time_point aNow)
{
  if (!mLookups.contains(aStream) && mLookups.size() >= kMaxLookups) {
    return {};
  }
  const auto [found, isNew] = mLookups.try_emplace(aStream);
  open_lookup& lookup = found->second;
  const auto replicas = Replicas(aStream, kMaxAsked);
  if (isNew) {
    lookup.mServices = aServices;
    lookup.mExpiresAt = aNow + kLookupTimeout + kQueryInterval;
    for (const std::string& replica : replicas) {
      lookup.mAwaited.insert(NodeKey(replica));
      if (lookup.mReplicas.size() < kSureReplicas) {
        lookup.mReplicas.push_back(NodeKey(replica));
      }
    }
  }
  if (lookup.mAwaited.empty() || aNow >= aSince + kLookupTimeout) {
    const software_key only = Conclude(lookup, aNow);
    mLookups.erase(found);
    if (only == 0) {
      return {};
    }
    return { stream_lookup::state::Known, only, "only_version" };
  }
  if (aNow >= lookup.mNextQueryAt) {
    lookup.mNextQueryAt = aNow + kQueryInterval;
    for (const std::string& replica : replicas) {
      if (lookup.mAwaited.contains(NodeKey(replica))) {
        mQueries[replica].push_back(aStream);
      }
    }
  }
  return { stream_lookup::state::Pending };
}

software_key stream_origins::Conclude(const open_lookup& aLookup,
                                      time_point aNow) const
{
  // With several versions the stream would have been copied. That the nodes do
  // not know it proves nothing if those with the copies were not heard.
  const bool replicaAnswered =
    std::ranges::any_of(aLookup.mReplicas, [&](std::uint32_t aNode) {
      return !aLookup.mAwaited.contains(aNode);
    });
  if (!replicaAnswered || aNow < mPeersCompleteAt) {
    return 0;
  }
  std::set<software_key> only = aLookup.mOnlySoftware;
  if (const software_key own = OnlySoftware(aLookup.mServices, aNow)) {
    only.insert(own);
  }
  if (only.size() != 1 || only.contains(kSeveralSoftware)) {
    return 0;
  }
  // A node with old entries may be certain of a version that is not the only
  // one, by what this node knows.
  only.merge(KnownSoftware(aLookup.mServices));
  return only.size() == 1 ? *only.begin() : 0;
}

std::vector<std::pair<std::string, stream_notice>> stream_origins::TakeNotices(
  time_point aNow)
{
  std::map<std::string, stream_notice> byReplica;
  std::vector<std::pair<std::string, stream_notice>> notices;
  for (const own_record& own : std::exchange(mToCopy, {})) {
    const auto found = mRecords.find(own.mStream);
    if (found == mRecords.end()) {
      continue;
    }
    for (const std::string& replica : Replicas(own.mStream, kReplicas)) {
      stream_notice& notice = byReplica[replica];
      notice.mRecords.push_back(
        { own.mStream,
          found->second.mSoftware,
          std::chrono::duration_cast<milliseconds>(aNow - own.mBeganAt) });
      if (notice.mRecords.size() == kMaxNoticeRecords) {
        notices.emplace_back(replica, std::exchange(notice, {}));
      }
    }
  }
  for (auto& [replica, notice] : byReplica) {
    if (!notice.mRecords.empty()) {
      notices.emplace_back(replica, std::move(notice));
    }
  }
  return notices;
}

std::vector<std::pair<std::string, stream_query>> stream_origins::TakeQueries()
{
  std::vector<std::pair<std::string, stream_query>> queries;
  for (const auto& [replica, streams] : std::exchange(mQueries, {})) {
    for (const stream_key stream : streams) {
      const auto lookup = mLookups.find(stream);
      if (lookup != mLookups.end()) {
        queries.emplace_back(
          replica, stream_query{ mAddress, stream, lookup->second.mServices });
      }
    }
  }
  return queries;
}

void stream_origins::OnNotice(const stream_notice& aNotice, time_point aNow)
{
  for (const auto& record : aNotice.mRecords) {
    if (record.mAge < kStreamLifetime) {
      Insert(record.mStream, record.mSoftware, aNow - record.mAge);
    }
  }
}

stream_answer stream_origins::OnQuery(const stream_query& aQuery,
                                      time_point aNow) const
{
  const auto known = mRecords.find(aQuery.mStream);
  const bool several = KnownSoftware(aQuery.mServices).size() > 1;
  return { aQuery.mStream,
           known == mRecords.end() ? 0 : known->second.mSoftware,
           several ? kSeveralSoftware : OnlySoftware(aQuery.mServices, aNow),
           NodeKey(mAddress) };
}

void stream_origins::OnAnswer(const stream_answer& aAnswer, time_point aNow)
{
  const auto lookup = mLookups.find(aAnswer.mStream);
  if (lookup == mLookups.end()) {
    return;
  }
  if (aAnswer.mSoftware != 0) {
    Insert(aAnswer.mStream, aAnswer.mSoftware, aNow);
    return;
  }
  lookup->second.mAwaited.erase(aAnswer.mNode);
  if (aAnswer.mOnlySoftware != 0) {
    lookup->second.mOnlySoftware.insert(aAnswer.mOnlySoftware);
  }
}
