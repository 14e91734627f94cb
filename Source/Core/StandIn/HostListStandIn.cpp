#include "StandIn/HostListStandIn.h"

#include <utility>
#include <vector>

#include "Remote/HostListJson.h"

using nlohmann::json;

host_list_stand_in::host_list_stand_in(host_list_stand_in_options aOptions)
  : mOptions(aOptions)
{
  mServer.Serve(
    "/v1/hosts", call_effect::None, [this](http_server_exchange& aCall) {
      return HandleGet(aCall);
    });
  mServer.Route("/v1/admin/hosts",
                [this](const http_server_exchange_ptr& aCall) {
                  const stand_in_reply reply = HandleAdmin(*aCall);
                  aCall->Reply(reply.mStatus, reply.mContentType, reply.mBody);
                });
}

void host_list_stand_in::Put(const host_entry& aHost)
{
  mHosts[aHost.mName] = aHost;
  Publish();
}

void host_list_stand_in::Remove(const std::string& aName)
{
  if (mHosts.erase(aName) > 0) {
    Publish();
  }
}

void host_list_stand_in::SetState(const std::string& aName, host_state aState)
{
  const auto found = mHosts.find(aName);
  if (found != mHosts.end()) {
    found->second.mState = aState;
    Publish();
  }
}

void host_list_stand_in::Publish()
{
  host_list_snapshot listing{ ++mVersion, {} };
  for (const auto& [name, host] : mHosts) {
    listing.mHosts.push_back(host);
  }
  if (mOptions.mLag.count() == 0) {
    mVisible = std::move(listing);
    return;
  }
  mDeferred.After(mOptions.mLag, [this, listing] { mVisible = listing; });
}

stand_in_reply host_list_stand_in::HandleGet(http_server_exchange& aExchange)
{
  const std::string known = aExchange.Query("version");
  if (mVisible.mVersion != 0 && known == std::to_string(mVisible.mVersion)) {
    return { SOUP_STATUS_NOT_MODIFIED, "" };
  }
  return { 200, WriteHostListSnapshot(mVisible) };
}

stand_in_reply host_list_stand_in::HandleAdmin(http_server_exchange& aExchange)
{
  std::vector<host_entry> put;
  std::vector<std::string> remove;
  try {
    const json body = json::parse(aExchange.Body());
    for (const json& entry : body.value("put", json::array())) {
      auto host = ReadHostEntry(entry);
      if (!host) {
        return ErrorReply(400, "bad_request", "not a host entry");
      }
      put.push_back(std::move(*host));
    }
    remove = body.value("remove", remove);
  } catch (const json::exception& error) {
    return ErrorReply(400, "bad_request", error.what());
  }
  for (const host_entry& host : put) {
    Put(host);
  }
  for (const std::string& name : remove) {
    Remove(name);
  }
  return JsonReply(200, { { "version", mVersion } });
}
