#pragma once

#include <chrono>
#include <map>
#include <string>

#include "Remote/HostList.h"
#include "StandIn/DeferredCalls.h"
#include "StandIn/StandInServer.h"

struct host_list_stand_in_options
{
  /// Changes become visible this late.
  std::chrono::milliseconds mLag{ 0 };
};

/// The list of hosts. `GET /v1/hosts` follows `Platform/HttpHostList.h`.
/// `POST /v1/admin/hosts` with `{"put":[entry..],"remove":[name..]}` changes
/// the list, whatever the faults.
class host_list_stand_in
{
public:
  explicit host_list_stand_in(host_list_stand_in_options aOptions = {});

  stand_in_server& Server() { return mServer; }
  /// Adds a host or replaces the one of the same name.
  void Put(const host_entry& aHost);
  void Remove(const std::string& aName);
  void SetState(const std::string& aName, host_state aState);
  /// What callers see now.
  const host_list_snapshot& Visible() const { return mVisible; }

private:
  void Publish();
  stand_in_reply HandleGet(http_server_exchange& aExchange);
  stand_in_reply HandleAdmin(http_server_exchange& aExchange);

  host_list_stand_in_options mOptions;
  std::map<std::string, host_entry> mHosts;
  std::uint64_t mVersion = 0;
  host_list_snapshot mVisible;
  deferred_calls mDeferred;
  stand_in_server mServer;
};
