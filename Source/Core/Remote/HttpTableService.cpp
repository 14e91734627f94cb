#include "Remote/HttpTableService.h"

#include <utility>

#include "Remote/TableJson.h"

namespace {

// After a broken connection the outcome of a commit is as unknown as after a
// timeout.
table_error TranslateFailure(http_failure aFailure)
{
  return aFailure == http_failure::Unavailable ? table_error::Unavailable
                                               : table_error::Timeout;
}

table_error TranslateStatus(unsigned aStatus)
{
  if (aStatus == kHttpTooManyRequests) {
    return table_error::RateLimited;
  }
  const bool refused = aStatus >= 400 && aStatus < 500;
  return refused || aStatus == SOUP_STATUS_SERVICE_UNAVAILABLE
           ? table_error::Unavailable
           : table_error::Timeout;
}

} // namespace

http_table_service::http_table_service(http_client& aClient,
                                       platform_endpoint aEndpoint)
  : mClient(aClient)
  , mEndpoint(std::move(aEndpoint))
{
}

void http_table_service::Read(std::vector<std::string> aKeys,
                              rows_callback aReply)
{
  PostForRows("/v1/read", WriteReadRequest(aKeys), std::move(aReply));
}

void http_table_service::Scan(table_scan aScan, rows_callback aReply)
{
  PostForRows("/v1/scan", WriteScanRequest(aScan), std::move(aReply));
}

void http_table_service::Commit(table_transaction aTransaction,
                                commit_callback aReply)
{
  Post("/v1/commit",
       WriteCommitRequest(aTransaction),
       [reply = std::move(aReply)](result<std::string, table_error> aBody) {
         if (!aBody.has_value()) {
           reply(aBody.error());
           return;
         }
         const auto parsed = ParseCommitReply(aBody.value());
         if (parsed) {
           reply(*parsed);
         } else {
           reply(table_error::Malformed);
         }
       });
}

void http_table_service::PostForRows(const char* aPath,
                                     std::optional<std::string> aBody,
                                     rows_callback aReply)
{
  Post(aPath,
       std::move(aBody),
       [reply = std::move(aReply)](result<std::string, table_error> aText) {
         if (!aText.has_value()) {
           reply(aText.error());
           return;
         }
         auto rows = ParseRowsReply(aText.value());
         if (rows) {
           reply(std::move(*rows));
         } else {
           reply(table_error::Malformed);
         }
       });
}

void http_table_service::Post(const char* aPath,
                              std::optional<std::string> aBody,
                              body_callback aReply)
{
  http_request request;
  request.mMethod = "POST";
  request.mUrl = mEndpoint.Url(aPath);
  request.mTimeout = mEndpoint.mTimeout;
  // A text that is not UTF-8 cannot be encoded. The service rejects the empty
  // body.
  request.mBody = std::move(aBody).value_or(std::string());
  mClient.Send(
    request,
    mOwner,
    [reply = std::move(aReply)](result<http_reply, http_failure> aResult) {
      if (!aResult.has_value()) {
        reply(TranslateFailure(aResult.error()));
      } else if (aResult.value().mStatus != SOUP_STATUS_OK) {
        reply(TranslateStatus(aResult.value().mStatus));
      } else {
        reply(std::move(aResult.value().mBody));
      }
    });
}
