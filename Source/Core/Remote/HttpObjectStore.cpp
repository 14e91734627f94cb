#include "Remote/HttpObjectStore.h"

#include <optional>
#include <utility>

#include "Common/TextCodec.h"

namespace {

object_error TranslateStatus(unsigned aStatus)
{
  switch (aStatus) {
    case SOUP_STATUS_NOT_FOUND:
      return object_error::NotFound;
    case kHttpTooManyRequests:
      return object_error::RateLimited;
    case SOUP_STATUS_SERVICE_UNAVAILABLE:
      return object_error::Unavailable;
    default:
      return aStatus >= 400 && aStatus < 500 ? object_error::Unavailable
                                             : object_error::Timeout;
  }
}

/// The error of a call; nothing for a reply with status 200.
std::optional<object_error> Error(
  const result<http_reply, http_failure>& aResult)
{
  if (!aResult.has_value()) {
    return aResult.error() == http_failure::Unavailable
             ? object_error::Unavailable
             : object_error::Timeout;
  }
  if (aResult.value().mStatus != SOUP_STATUS_OK) {
    return TranslateStatus(aResult.value().mStatus);
  }
  return std::nullopt;
}

} // namespace

http_object_store::http_object_store(http_client& aClient,
                                     platform_endpoint aEndpoint)
  : mClient(aClient)
  , mEndpoint(std::move(aEndpoint))
{
}

void http_object_store::Get(std::string aName, get_callback aReply)
{
  mClient.Send(
    Request("GET", aName),
    mOwner,
    [reply = std::move(aReply)](result<http_reply, http_failure> aResult) {
      const auto error = Error(aResult);
      if (error) {
        reply(*error);
      } else {
        reply(std::move(aResult.value().mBody));
      }
    });
}

void http_object_store::Put(std::string aName,
                            std::string aBytes,
                            put_callback aReply)
{
  http_request request = Request("PUT", aName);
  request.mContentType = "application/octet-stream";
  request.mBody = std::move(aBytes);
  mClient.Send(request,
               mOwner,
               [reply = std::move(aReply)](
                 const result<http_reply, http_failure>& aResult) {
                 const auto error = Error(aResult);
                 if (error) {
                   reply(*error);
                 } else {
                   reply(success());
                 }
               });
}

http_request http_object_store::Request(const char* aMethod,
                                        const std::string& aName) const
{
  http_request request;
  request.mMethod = aMethod;
  request.mUrl = mEndpoint.Url(std::string("/v1/objects/") + EscapeUri(aName));
  request.mTimeout = mEndpoint.mTimeout;
  return request;
}
