#pragma once

#include "Remote/HttpClient.h"
#include "Remote/ObjectStore.h"
#include "Remote/PlatformEndpoint.h"

/// The object store over HTTP: `GET` and `PUT` of `/v1/objects/NAME`, with the
/// name percent-escaped and the bytes as the body. 404 means not found, 429
/// over the rate, 503 and other 4xx refused; any other failure of a `PUT` may
/// have been applied and is a timeout. Destruction cancels open calls without
/// calling back.
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
  http_owner mOwner;
};
