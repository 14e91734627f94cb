#include "StandIn/WeightStandIn.h"

#include <utility>

#include <fmt/format.h>

using nlohmann::json;

weight_stand_in::weight_stand_in(weight_stand_in_options aOptions)
  : mOptions(std::move(aOptions))
  , mTickets(mOptions.mTicketsPerSecond)
{
  mServer.Serve("/v1/tickets",
                call_effect::Changes,
                [this](http_server_exchange& aCall) { return Handle(aCall); });
}

stand_in_reply weight_stand_in::Handle(http_server_exchange& aExchange)
{
  const json body = json::parse(aExchange.Body(), nullptr, false);
  if (!body.is_object() || !body.contains("model") ||
      !body["model"].is_string()) {
    return ErrorReply(400, "bad_request", "the body names no model");
  }
  const auto model = body["model"].get<std::string>();
  const auto found = mOptions.mModels.find(model);
  if (found == mOptions.mModels.end()) {
    return ErrorReply(404, "not_found", "no such model");
  }
  if (!mTickets.Take(mTime.Now())) {
    return ErrorReply(429, "rate_limited", "over the rate of the store");
  }
  const std::uint64_t number = ++mGranted[model];
  return JsonReply(200,
                   { { "model", model },
                     { "ticket", fmt::format("{}-{}", model, number) },
                     { "bytes", found->second } });
}
