#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Config/FleetDocument.h"
#include "Dispatch/DispatchTypes.h"
#include "Remote/HostList.h"
#include "Remote/HttpClient.h"

/// One host of a plain service.
struct service_host
{
  std::string mName;
  std::string mAddress;
  std::string mZone;
  auto operator<=>(const service_host&) const = default;
};

/// Receives what `upstream_watch` reads.
class upstream_watch_handler
{
public:
  virtual ~upstream_watch_handler() = default;
  virtual void OnHosts(const host_list_snapshot& aListing) = 0;
  virtual void OnLoad(const upstream_id& aUpstream,
                      const load_report& aReport) = 0;
  virtual void OnCache(const upstream_id& aUpstream,
                       const cache_events& aEvents) = 0;
};

/// Polls the host list and polls the engines for load reports and cache events.
/// The number of requests per second does not depend on the fleet's size.
class upstream_watch
{
public:
  upstream_watch(host_list& aHosts,
                 http_client& aClient,
                 const time_source& aTime,
                 upstream_watch_handler& aHandler);

  /// Sends the polls that are due.
  void Tick(time_point aNow);
  /// Sets the engines to poll and their addresses (`IP:port`).
  void SetEngines(std::map<upstream_id, std::string> aAddresses);
  /// Sets the number of nodes that poll the same engines; the interval between
  /// two polls grows with it.
  void SetNodeCount(std::size_t aNodes)
  {
    mNodeCount = static_cast<int>(aNodes);
  }
  /// Fetches the complete host list at the next tick, also when its version is
  /// unchanged.
  void Refresh();

private:
  void FetchHosts(time_point aNow);
  void PollNextEngine(time_point aNow);
  void PollLoad(const upstream_id& aUpstream, const std::string& aAddress);
  void PollCacheEvents(const upstream_id& aUpstream,
                       const std::string& aAddress);

  host_list& mHosts;
  http_client& mClient;
  const time_source& mTime;
  upstream_watch_handler& mHandler;
  http_request_owner mRequests;
  std::map<upstream_id, std::string> mEngines;
  std::map<upstream_id, std::uint64_t> mCacheSequence;
  upstream_id mLastPolled;
  std::uint64_t mListVersion = 0;
  int mNodeCount = 1;
  bool mFetchPending = false;
  time_point mNextFetch{};
  time_point mNextPoll{};
};

/// Parses the body of `GET /v1/load`; false when it is malformed.
bool ParseLoadReport(std::string_view aBody,
                     time_point aNow,
                     load_report& aReport);

/// Parses the body of `GET /v1/cache_events`; false when it is malformed.
bool ParseCacheEvents(std::string_view aBody,
                      std::vector<cache_events>& aEvents);
