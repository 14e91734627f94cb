#include "Gateway/GatewayCalls.h"

#include <utility>

#include "Net/HttpStatus.h"

namespace {

using std::chrono::milliseconds;

// Time to live of an address list at clients; some keep it three times as long.
constexpr milliseconds kAddressLifetime(1000);

} // namespace

gateway_calls::gateway_calls(const gateway_dialect& aDialect,
                             const fleet_view& aFleet,
                             const gateway_metrics& aMetrics,
                             const time_source& aTime,
                             std::function<bool()> aReady)
  : mDialect(aDialect)
  , mFleet(aFleet)
  , mMetrics(aMetrics)
  , mTime(aTime)
  , mReady(std::move(aReady))
{
}

void gateway_calls::OnRequest(http_server_connection& aConnection,
                              http_server_request aRequest)
{
  http_server_response response;
  switch (mDialect.ReadCall(aRequest)) {
    case node_call::Readiness:
      response.mStatus =
        mReady() ? http_status::kOk : http_status::kServiceUnavailable;
      aConnection.Respond(response, {});
      return;
    case node_call::ResolveAddresses: {
      const auto addresses =
        mFleet.ClientAddresses(mTime.Now(), mDialect.ReadResolveZone(aRequest));
      if (addresses.empty()) {
        response.mStatus = http_status::kServiceUnavailable;
        aConnection.Respond(response, {});
        return;
      }
      response.mHeaders.emplace_back("Content-Type", "application/json");
      aConnection.Respond(response,
                          mDialect.WriteAddresses(addresses, kAddressLifetime));
      return;
    }
    case node_call::Other:
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
