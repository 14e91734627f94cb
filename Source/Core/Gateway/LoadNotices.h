#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Common/Time.h"
#include "Gateway/UpstreamRegistry.h"

/// Tells other nodes soon what a node's requests at servers are.

/// The sender's requests at the servers where they changed. Numbers are
/// absolute, so that a lost notice does no harm after the next one or the next
/// report.
struct load_notice
{
  /// Datagram address of the sender, its key in `fleet_view`.
  std::string mAddress;
  std::uint64_t mRun = 0;
  /// Rises within the run; an older notice is ignored.
  std::uint64_t mSequence = 0;
  /// By `upstream_registry::KeyOf`; zero if the requests ended.
  std::vector<std::pair<std::uint32_t, upstream_work>> mWork;
  bool operator==(const load_notice&) const = default;
};

/// Decides when a node sends its load to its live peers.
///
/// Started requests are merged over 20 ms, everything else over 200 ms, and
/// longer if more than 400 datagrams a second would be sent. Nothing is sent in
/// fleets of more than 150 nodes, where reports alone are used.
class load_sender
{
public:
  /// Largest number of servers in a notice: with 40 bytes each it stays below
  /// 1,400 bytes. What does not fit follows in the next notice.
  static constexpr std::size_t kMaxServers = 30;

  /// To be called every few ms with the node's own work and the number of its
  /// live peers. Returns what is to be sent to all of them now, without the
  /// sender's address and run.
  std::optional<load_notice> Update(
    const std::vector<std::pair<std::uint32_t, upstream_work>>& aWork,
    std::size_t aPeers,
    time_point aNow);

private:
  struct sent_load
  {
    upstream_work mSent;
    upstream_work mCurrent;
    /// When the change is to be sent.
    std::optional<time_point> mDueAt;
  };

  bool MaySend(std::size_t aPeers, bool aUrgent, time_point aNow);

  /// Servers with requests now or when last sent.
  std::unordered_map<std::uint32_t, sent_load> mServers;
  std::uint64_t mSequence = 0;
  /// Datagrams that may be sent at once.
  double mAllowance = 0.0;
  time_point mAllowanceAt;
  time_point mNextIdleAt;
};
