#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "Gateway/CrashHistory.h"
#include "Gateway/UpstreamRegistry.h"

/// Requests that were sent to servers and not answered completely, also those
/// that the node no longer waits for. Detects servers that fell silent under
/// them: such a server breaks no connection, and clients leave before it is
/// removed from the store.
class unanswered_requests
{
public:
  using ticket = std::uint64_t;

  ticket Add(const request_fingerprint& aRequest,
             const server_run& aServer,
             time_point aSentAt);
  /// The server's response is complete, or its connection broke.
  void Remove(ticket aTicket);
  /// The node stops waiting for the response. The request is kept until the
  /// server shows a sign of life or counts as silent.
  void Abandon(ticket aTicket, time_point aNow);

  /// Whether a copy of the request has no known outcome.
  bool Contains(const content_id& aRequest) const;
  /// Whether a request with one of the segments has no known outcome.
  bool ContainsAny(std::span<const segment_id> aSegments) const;
  /// Servers that have an open request with a crash report, except this one. A
  /// request with reports is kept away from them, so that further crashes tell
  /// the requests apart.
  std::vector<upstream_id> ServersOfSuspects(const crash_history& aHistory,
                                             const content_id& aExcept,
                                             time_point aNow) const;

  /// Returns each request once whose server has fallen silent.
  /// `aStoreContact` is the last contact to the store; without it, entries tell
  /// nothing about servers.
  std::vector<observed_crash> TakeSilent(const upstream_registry& aServers,
                                         time_point aStoreContact,
                                         time_point aNow);

private:
  struct open_request
  {
    request_fingerprint mRequest;
    server_run mServer;
    time_point mSentAt;
    /// Set once the node has stopped to wait.
    std::optional<time_point> mAbandonedAt;
    bool mReported = false;
  };

  enum class state : std::uint8_t
  {
    Undecided,
    Silent,
    /// The server lives, or its end is known otherwise.
    Settled,
  };

  static state StateOf(const open_request& aRequest,
                       const std::optional<signs_of_life>& aSigns,
                       bool aStoreLost,
                       time_point aNow);

  /// Last byte of the request's server run, or the time of sending.
  static time_point LastByteOf(const open_request& aRequest,
                               const signs_of_life& aSigns);

  /// Last byte of the request's server run, also before the request was sent;
  /// the time of sending if there was none.
  static time_point EndOf(const open_request& aRequest,
                          const signs_of_life& aSigns);

  ticket mLastTicket = 0;
  std::map<ticket, open_request> mRequests;
};
