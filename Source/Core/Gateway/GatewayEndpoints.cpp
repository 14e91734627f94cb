#include "Gateway/GatewayEndpoints.h"

#include <utility>

#include "Net/HttpStatus.h"

gateway_endpoints::gateway_endpoints(const gateway_codec& aCodec,
                                     const fleet_view& aFleet,
                                     gateway_metrics& aMetrics,
                                     held_bytes& aHeld,
                                     const time_source& aTime,
                                     std::function<bool()> aReady,
                                     region_filter aRegions)
  : mCodec(aCodec)
  , mFleet(aFleet)
  , mMetrics(aMetrics)
  , mHeld(aHeld)
  , mTime(aTime)
  , mReady(std::move(aReady))
  , mRegions(std::move(aRegions))
{
}

bool gateway_endpoints::MayHold(std::size_t aHeld, std::size_t aMore)
{
  return mHeld.MayHold(aHeld, aMore);
}

void gateway_endpoints::OnHeld(std::size_t aBytes)
{
  mHeld.Add(held_kind::ArrivingRequests, aBytes);
}

void gateway_endpoints::OnRequest(http_server_connection& aConnection,
                                  http_server_request aRequest)
{
  http_server_response response;
  switch (mCodec.ReadEndpoint(aRequest)) {
    case node_endpoint::Readiness:
      response.mStatus =
        mReady() ? http_status::kOk : http_status::kServiceUnavailable;
      aConnection.Respond(response, {});
      return;
    case node_endpoint::ResolveAddresses: {
      const auto addresses = FilterAddresses(
        mFleet.ClientAddresses(mTime.Now(), mCodec.ReadResolveZone(aRequest)),
        mRegions(mCodec.ReadResolveName(aRequest),
                 mCodec.ReadResolveRegion(aRequest)),
        mFleet.ClientAddressRegions());
      mMetrics.SetNamedHosts(static_cast<double>(addresses.size()));
      if (addresses.empty()) {
        response.mStatus = http_status::kServiceUnavailable;
        aConnection.Respond(response, {});
        return;
      }
      response.mHeaders.emplace_back("Content-Type", "application/json");
      aConnection.Respond(response,
                          mCodec.WriteAddresses(addresses, kAddressLifetime));
      return;
    }
    case node_endpoint::Other:
      break;
  }
  if (aRequest.mTarget == "/metrics") {
    response.mHeaders.emplace_back("Content-Type", "text/plain; version=0.0.4");
    aConnection.Respond(response, mMetrics.Text());
    return;
  }
  response.mStatus = http_status::kNotFound;
  aConnection.Respond(response, {});
}
