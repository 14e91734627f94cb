#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Time.h"

/// Rate limits that servers name for themselves, and this node's part of them.
///
/// A server in need states how many requests a second it takes from all nodes
/// together. Nodes exchange what servers said. Each limit is divided among a
/// few nodes, chosen by a hash of server and node, so that the nodes keep to it
/// without asking each other before each request. The limit holds for all kinds
/// of sends, repeated ones included.

/// What a server run said of its rate limit.
struct rate_limit_statement
{
  /// `upstream_registry::KeyOf` of the server.
  std::uint32_t mServer = 0;
  std::uint64_t mIncarnation = 0;
  /// Requests a second that the server takes from all nodes together; nothing
  /// if it names no limit any more.
  std::optional<double> mRequestsPerSecond;
  time_point mStatedAt;
  auto operator<=>(const rate_limit_statement&) const = default;
};

/// What the platform allows a cold server to get in any second:
/// `mFactor` times its limit and `mSlack` requests.
struct cold_bound
{
  double mFactor = 1.0;
  /// Requests.
  double mSlack = 0.0;
  auto operator<=>(const cold_bound&) const = default;
};

/// A server run that takes few requests because it has just started or has
/// become cold again.
struct cold_limit
{
  /// `upstream_registry::KeyOf` of the server.
  std::uint32_t mServer = 0;
  /// Requests a second from all nodes together.
  double mRequestsPerSecond = 0.0;
  /// End of the cold time.
  time_point mUntil;
  auto operator<=>(const cold_limit&) const = default;
};

/// Text form for logs: requests a second, or `none`.
std::string FormatRate(const std::optional<double>& aRequestsPerSecond);

class server_rate_limits
{
public:
  /// Records a response: `aStatement` holds the limit that it names, if any. A
  /// response without a limit ends the limit only if its request was sent after
  /// the limit was named, because responses on different connections overtake
  /// each other. Returns whether the server's limit changed.
  bool OnResponse(const rate_limit_statement& aStatement, time_point aSentAt);
  /// Records a statement that another node received. Returns whether the
  /// server's limit changed.
  bool OnPeerStatement(const rate_limit_statement& aStatement, time_point aNow);
  /// Ends the limits of earlier runs of a server.
  void OnServerStart(std::uint32_t aServer, std::uint64_t aIncarnation);
  /// Forgets a server.
  void Remove(std::uint32_t aServer) { mServers.erase(aServer); }
  /// Sets what the platform allows cold servers to get.
  void SetColdBound(const cold_bound& aBound) { mColdBound = aBound; }
  /// The server run is cold until the given time, or until another one if it
  /// was cold already. A limit that the server names and that is lower holds as
  /// well. Returns whether it was not known to be cold.
  bool SetCold(const cold_limit& aLimit, time_point aNow);
  void EndCold(std::uint32_t aServer, time_point aNow);
  bool IsCold(std::uint32_t aServer, time_point aNow) const;
  std::size_t ColdCount(time_point aNow) const;
  /// Limit of a server that is or was cold lately; nothing for others.
  std::optional<cold_limit> FindCold(std::uint32_t aServer) const;
  /// Nodes that may run, although nothing was heard of them: seeds, and nodes
  /// that registered in the store. Limits of cold servers are divided among
  /// them as well for a while after the first call that names them.
  void AddPossibleNodes(const std::vector<std::string>& aNodes,
                        time_point aNow);
  /// Sets the addresses of the live nodes among which limits are divided. To be
  /// called in each round of reports.
  void SetNodes(const std::string& aSelf,
                std::vector<std::string> aPeers,
                time_point aNow);

  /// Whether this node may send the server a request now.
  bool MaySend(std::uint32_t aServer, time_point aNow) const;
  /// Time from which this node may send the server a request;
  /// `time_point::max()` if it has no part of the limit.
  time_point MaySendFrom(std::uint32_t aServer) const;
  void OnSend(std::uint32_t aServer, time_point aNow);

  /// Newest statement of a server that is limited; nothing for others.
  std::optional<rate_limit_statement> Find(std::uint32_t aServer) const;
  /// This node's part of a server's limit, in requests a second.
  double OwnRate(std::uint32_t aServer) const;
  /// Number of servers that are limited.
  std::size_t LimitedCount() const;
  /// Statements that this node received from servers recently, for the other
  /// nodes.
  std::vector<rate_limit_statement> OwnStatements(time_point aNow) const;

private:
  struct limited_server
  {
    rate_limit_statement mStatement;
    /// This node received the statement from the server itself.
    bool mReceivedHere = false;
    double mOwnRate = 0.0;
    std::optional<cold_limit> mCold;
    /// Time from which a send is in line with the rate alone. Sends are allowed
    /// earlier by the burst tolerance.
    time_point mNextSendAt;
  };

  bool Record(const rate_limit_statement& aStatement,
              bool aReceivedHere,
              time_point aNow);
  /// Computes this node's part of the limit.
  void Divide(limited_server& aServer, time_point aNow) const;
  /// The same for a cold server.
  void DivideCold(limited_server& aServer, time_point aNow) const;
  static bool IsCold(const limited_server& aServer, time_point aNow);
  /// Time from which this node may send a cold server a request.
  time_point MaySendColdFrom(const limited_server& aServer) const;
  /// Updates the nodes that may send to cold servers. Returns whether they
  /// changed.
  bool UpdatePossibleNodes(time_point aNow);
  /// Drops cold times that have passed.
  void ExpireCold(time_point aNow);

  std::string mSelf;
  std::vector<std::string> mPeers;
  std::unordered_map<std::uint32_t, limited_server> mServers;
  cold_bound mColdBound;
  /// When the node began to exchange reports.
  std::optional<time_point> mStartedAt;
  /// When other nodes were last known or assumed to run.
  std::map<std::string, time_point> mSeenAt;
  /// Other nodes that may send to cold servers; some keys of `mSeenAt`.
  std::vector<std::string> mPossiblePeers;
};
