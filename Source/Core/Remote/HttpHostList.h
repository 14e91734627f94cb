#pragma once

#include "Remote/HostList.h"
#include "Remote/HttpClient.h"
#include "Remote/PlatformEndpoint.h"

/// The host list over HTTP: `GET /v1/hosts?version=N` returns 200 with the list
/// (`Remote/HostListJson.h`), or 304 while N is the current version. Any other
/// status counts as unavailable. Destruction cancels open calls; their
/// callbacks are not called.
class http_host_list final : public host_list
{
public:
  http_host_list(http_client& aClient, platform_endpoint aEndpoint);

  void Fetch(std::uint64_t aKnownVersion, callback aReply) override;

private:
  http_client& mClient;
  platform_endpoint mEndpoint;
  http_request_owner mOwner;
};
