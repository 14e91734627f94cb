#include "Remote/HttpWeightStore.h"

#include <utility>

#include <nlohmann/json.hpp>

using nlohmann::json;

namespace {

result<weight_ticket, weight_error> ParseTicket(const std::string& aText)
{
  try {
    const json body = json::parse(aText);
    return weight_ticket{ body.at("model").get<std::string>(),
                          body.at("ticket").get<std::string>(),
                          body.at("bytes").get<std::uint64_t>() };
  } catch (const json::exception&) {
    return weight_error::Unavailable;
  }
}

result<weight_ticket, weight_error> Translate(
  const result<http_reply, http_failure>& aReply)
{
  if (!aReply.has_value()) {
    return weight_error::Unavailable;
  }
  switch (aReply.value().mStatus) {
    case SOUP_STATUS_OK:
      return ParseTicket(aReply.value().mBody);
    case SOUP_STATUS_NOT_FOUND:
      return weight_error::NotFound;
    case kHttpTooManyRequests:
      return weight_error::RateLimited;
    default:
      return weight_error::Unavailable;
  }
}

} // namespace

http_weight_store::http_weight_store(http_client& aClient,
                                     platform_endpoint aEndpoint)
  : mClient(aClient)
  , mEndpoint(std::move(aEndpoint))
{
}

void http_weight_store::Request(std::string aModel, callback aReply)
{
  http_request request;
  request.mMethod = "POST";
  request.mUrl = mEndpoint.Url("/v1/tickets");
  request.mTimeout = mEndpoint.mTimeout;
  const json body{ { "model", aModel } };
  request.mBody = body.dump(-1, ' ', false, json::error_handler_t::replace);
  mClient.Send(request,
               mOwner,
               [reply = std::move(aReply)](
                 const result<http_reply, http_failure>& aResult) {
                 reply(Translate(aResult));
               });
}
