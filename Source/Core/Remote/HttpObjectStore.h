#pragma once

#include "Remote/HttpClient.h"
#include "Remote/ObjectStore.h"
#include "Remote/PlatformEndpoint.h"

/// The object store over HTTP: `GET` and `PUT` of `/v1/objects/NAME`, with the
/// name percent-encoded and the bytes as the body. 404 means not found, 429
/// rate limited, 503 and other 4xx refused. Any other failure is reported as a
/// timeout, because a `PUT` may have been applied. Destruction cancels open
/// calls; their callbacks are not called.
class http_object_store final : public object_store
{
public:
  http_object_store(http_client& aClient, platform_endpoint aEndpoint);

  void Get(std::string aName, get_callback aReply) override;
  void Put(std::string aName, std::string aBytes, put_callback aReply) override;

private:
  http_request Request(const char* aMethod, const std::string& aName) const;

  http_client& mClient;
  platform_endpoint mEndpoint;
  http_request_owner mOwner;
};
