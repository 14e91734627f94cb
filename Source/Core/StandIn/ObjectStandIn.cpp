#include "StandIn/ObjectStandIn.h"

#include <string_view>

namespace {

constexpr std::string_view kPrefix = "/v1/objects/";

/// Name in a path, empty when it has none.
std::string ObjectName(std::string_view aPath)
{
  if (!aPath.starts_with(kPrefix)) {
    return {};
  }
  return std::string(aPath.substr(kPrefix.size()));
}

} // namespace

object_stand_in::object_stand_in(object_stand_in_options aOptions)
  : mCalls(aOptions.mCallsPerSecond)
{
  mServer.Serve(
    "/v1/objects",
    call_effect::Changes,
    [this](http_server_exchange& aExchange) { return Handle(aExchange); });
}

stand_in_reply object_stand_in::Handle(http_server_exchange& aExchange)
{
  const std::string name = ObjectName(aExchange.Path());
  if (name.empty()) {
    return ErrorReply(400, "bad_request", "the path names no object");
  }
  if (!mCalls.Take(mTime.Now())) {
    return ErrorReply(429, "rate_limited", "over the rate of the store");
  }
  if (aExchange.Method() == "PUT") {
    mObjects[name] = std::string(aExchange.Body());
    return JsonReply(200, { { "stored", name } });
  }
  const auto found = mObjects.find(name);
  if (found == mObjects.end()) {
    return ErrorReply(404, "not_found", "no such object");
  }
  return { 200, found->second, "application/octet-stream" };
}
