#pragma once

#include "Remote/HttpClient.h"
#include "Remote/PlatformEndpoint.h"
#include "Remote/WeightStore.h"

/// The weight store over HTTP: `POST /v1/tickets` with `{"model"}` returns
/// `{"model","ticket","bytes"}`; 404 means an unknown model, 429 rate limited.
/// Any other failure counts as unavailable: a ticket whose reply was lost is
/// never used and does not have to be returned. Destruction cancels open calls;
/// their callbacks are not called.
class http_weight_store final : public weight_store
{
public:
  http_weight_store(http_client& aClient, platform_endpoint aEndpoint);

  void Request(std::string aModel, callback aReply) override;

private:
  http_client& mClient;
  platform_endpoint mEndpoint;
  http_request_owner mOwner;
};
