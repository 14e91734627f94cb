#include "StandIn/ServiceStandIn.h"

using nlohmann::json;

service_stand_in::service_stand_in()
{
  mServer.Serve(
    "/", call_effect::Changes, [this](http_server_exchange& aExchange) {
      return Handle(aExchange);
    });
}

std::uint32_t service_stand_in::Runs(const std::string& aKey) const
{
  const auto found = mRuns.find(aKey);
  return found == mRuns.end() ? 0 : found->second;
}

stand_in_reply service_stand_in::Handle(http_server_exchange& aExchange)
{
  const std::string path(aExchange.Path());
  if (aExchange.Method() == "GET") {
    ++mLookups;
    return JsonReply(200, { { "path", path } });
  }
  ++mRuns[std::string(aExchange.Header("Idempotency-Key"))];
  return JsonReply(200,
                   { { "run", ++mTotal },
                     { "path", path },
                     { "body", std::string(aExchange.Body()) } });
}
