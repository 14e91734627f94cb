#include "Remote/HttpHostList.h"

#include <utility>

#include <fmt/format.h>

#include "Remote/HostListJson.h"

namespace {

result<host_list_snapshot, host_list_error> Translate(
  const result<http_reply, http_failure>& aReply)
{
  if (!aReply.has_value()) {
    switch (aReply.error()) {
      case http_failure::Timeout:
        return host_list_error::Timeout;
      case http_failure::Broken:
        return host_list_error::Malformed;
      case http_failure::Unavailable:
        break;
    }
    return host_list_error::Unavailable;
  }
  const http_reply& reply = aReply.value();
  if (reply.mStatus == SOUP_STATUS_NOT_MODIFIED) {
    return host_list_error::NotModified;
  }
  if (reply.mStatus != SOUP_STATUS_OK) {
    return host_list_error::Unavailable;
  }
  auto listing = ParseHostListSnapshot(reply.mBody);
  if (!listing) {
    return host_list_error::Malformed;
  }
  return std::move(*listing);
}

} // namespace

http_host_list::http_host_list(http_client& aClient,
                               platform_endpoint aEndpoint)
  : mClient(aClient)
  , mEndpoint(std::move(aEndpoint))
{
}

void http_host_list::Fetch(std::uint64_t aKnownVersion, callback aReply)
{
  http_request request;
  request.mUrl =
    mEndpoint.Url(fmt::format("/v1/hosts?version={}", aKnownVersion));
  request.mTimeout = mEndpoint.mTimeout;
  mClient.Send(request,
               mOwner,
               [reply = std::move(aReply)](
                 const result<http_reply, http_failure>& aResult) {
                 reply(Translate(aResult));
               });
}
