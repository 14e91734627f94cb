#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Common/Time.h"
#include "Gateway/GatewayTypes.h"

/// Longest time from the first event of a stream to its last resumption: twice
/// the longest timeout of a route.
inline constexpr std::chrono::seconds kStreamLifetime{ 30 };

/// Hash of the identity of the request that began a stream.
using stream_key = std::uint64_t;

/// Hash of a service and the version of its servers' software; never 0 and
/// never `kSeveralSoftware`.
using software_key = std::uint64_t;

/// Stands for several versions in a `stream_answer`.
inline constexpr software_key kSeveralSoftware = ~software_key{ 0 };

stream_key StreamKey(std::string_view aRequestId);
software_key SoftwareKey(const service_id& aService,
                         const software_version& aSoftware);

/// Software at which streams began, for nodes that keep a copy.
struct stream_notice
{
  struct aged_record
  {
    stream_key mStream = 0;
    software_key mSoftware = 0;
    /// Time since the stream began, because the clocks of nodes differ.
    std::chrono::milliseconds mAge{ 0 };
    auto operator<=>(const aged_record&) const = default;
  };
  std::vector<aged_record> mRecords;
  bool operator==(const stream_notice&) const = default;
};

/// Asks a node at which software a stream began.
struct stream_query
{
  /// Datagram address for the answer.
  std::string mAddress;
  stream_key mStream = 0;
  /// Services at which it may have begun.
  std::vector<service_id> mServices;
  auto operator<=>(const stream_query&) const = default;
};

struct stream_answer
{
  stream_key mStream = 0;
  /// Software at which the stream began; 0 if the node does not know.
  software_key mSoftware = 0;
  /// The only software at which any stream of the services can have begun;
  /// `kSeveralSoftware` if the node knows of several, 0 if it is not certain.
  software_key mOnlySoftware = 0;
  /// `NodeKey` of the node that answers.
  std::uint32_t mNode = 0;
  auto operator<=>(const stream_answer&) const = default;
};

/// Result of the question at which software a stream began.
struct stream_lookup
{
  enum class state : std::uint8_t
  {
    /// Other nodes were asked; ask again.
    Pending,
    Known,
    Unknown,
  };
  state mState = state::Unknown;
  software_key mSoftware = 0;
  /// Where the answer comes from, for logs and metrics.
  const char* mSource = "";
};

/// Remembers at which software version streams began, because what two versions
/// write does not fit together and clients resume streams at any node.
///
/// While a service has a single version, every stream began there and no record
/// is copied. Otherwise a node copies each new record to the few nodes that a
/// rendezvous hash of the stream chooses, so that it outlives the node, and the
/// node at which a stream is resumed asks these. A node that knows a single
/// version asks as well if its server entries are older than the resumption,
/// because the stream may have begun at a version that it does not know yet.
/// That no node knows the stream counts only if one that would keep a copy has
/// answered and none knows another version; otherwise the resumption is refused
/// until the entries are newer than the first attempt.
///
/// A node that has just started knows no versions of the time before, so after
/// the loss of all nodes streams of unknown version are refused for
/// `kStreamLifetime`, the longest time from the first event of a stream to its
/// last resumption.
class stream_origins
{
public:
  /// `aAddress` is the datagram address of this node.
  explicit stream_origins(std::string aAddress)
    : mAddress(std::move(aAddress))
  {
  }

  /// Sets the datagram addresses of the live peers.
  void SetPeers(std::vector<std::string> aPeers, time_point aNow);

  /// A server with the software serves, or did so until now.
  void OnServer(const service_id& aService,
                const software_version& aSoftware,
                time_point aNow);
  /// `aStoreContact` is the last contact to the store; without it servers may
  /// start that this node does not know.
  void OnTick(time_point aStoreContact, time_point aNow);

  /// A stream of this node has begun.
  void Record(stream_key aStream,
              const service_id& aService,
              software_key aSoftware,
              time_point aNow);
  /// Tells at which software a stream began, or asks other nodes. `aSince` is
  /// the time of the first call for the resumption, `aServersCurrentAt` the
  /// time up to which this node knows all servers.
  stream_lookup Lookup(stream_key aStream,
                       const std::vector<service_id>& aServices,
                       time_point aServersCurrentAt,
                       time_point aSince,
                       time_point aNow);

  /// Messages to other nodes by address, since the last call.
  std::vector<std::pair<std::string, stream_notice>> TakeNotices(
    time_point aNow);
  std::vector<std::pair<std::string, stream_query>> TakeQueries();
  void OnNotice(const stream_notice& aNotice, time_point aNow);
  stream_answer OnQuery(const stream_query& aQuery, time_point aNow) const;
  void OnAnswer(const stream_answer& aAnswer, time_point aNow);

  std::size_t Size() const { return mRecords.size(); }

private:
  struct record
  {
    software_key mSoftware = 0;
    time_point mBeganAt;
    time_point mExpiresAt;
  };
  struct own_record
  {
    stream_key mStream = 0;
    service_id mService;
    time_point mBeganAt;
  };
  struct open_lookup
  {
    time_point mExpiresAt;
    time_point mNextQueryAt;
    std::vector<service_id> mServices;
    /// `NodeKey` of each node that was asked and did not answer.
    std::set<std::uint32_t> mAwaited;
    /// `NodeKey` of the nodes that keep a copy of the record if there is one.
    std::vector<std::uint32_t> mReplicas;
    /// What nodes that do not know the stream are certain of.
    std::set<software_key> mOnlySoftware;
  };

  /// The only software at which streams of the services can have begun; 0 if
  /// there are several or this node is not certain.
  software_key OnlySoftware(const std::vector<service_id>& aServices,
                            time_point aNow) const;
  /// All software of the services that this node knows, certain or not.
  std::set<software_key> KnownSoftware(
    const std::vector<service_id>& aServices) const;
  /// Time by which the stream had begun: that of its first resumption.
  time_point BegunBy(stream_key aStream, time_point aSince);
  /// The only software at which the stream can have begun, by the answers to
  /// the lookup and what this node knows; 0 if they do not prove it.
  software_key Conclude(const open_lookup& aLookup, time_point aNow) const;
  void Insert(stream_key aStream, software_key aSoftware, time_point aBeganAt);
  /// The live peers that keep copies of the record, first choice first.
  std::vector<std::string> Replicas(stream_key aStream,
                                    std::size_t aMaxCount) const;
  stream_lookup Ask(stream_key aStream,
                    const std::vector<service_id>& aServices,
                    time_point aSince,
                    time_point aNow);

  std::string mAddress;
  std::vector<std::string> mPeers;
  /// Time from which on the peers that keep copies are among `mPeers`.
  time_point mPeersCompleteAt;
  std::unordered_map<stream_key, record> mRecords;
  /// Records in the order of their expiry.
  std::deque<std::pair<time_point, stream_key>> mExpiry;
  /// Streams of this node that need no copy while their service has a single
  /// version, and those that are to be copied.
  std::deque<own_record> mNotCopied;
  std::vector<own_record> mToCopy;
  /// Service and software to the time at which a server with it was last known.
  std::map<service_id, std::map<software_key, time_point>> mSoftware;
  /// Start of the time for which this node has known all servers.
  std::optional<time_point> mWatchingSince;
  std::optional<time_point> mLastTickAt;
  std::unordered_map<stream_key, open_lookup> mLookups;
  /// Times of the first resumptions of streams here.
  std::unordered_map<stream_key, time_point> mFirstResumed;
  std::map<std::string, std::vector<stream_key>> mQueries;
};
