#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "Remote/HttpClient.h"
#include "Remote/PlatformEndpoint.h"
#include "Remote/TableService.h"

/// The table service over HTTP; `Remote/TableJson.h` describes the protocol.
/// Destruction cancels open calls; their callbacks are not called.
class http_table_service final : public table_service
{
public:
  http_table_service(http_client& aClient, platform_endpoint aEndpoint);

  void Read(std::vector<std::string> aKeys, rows_callback aReply) override;
  void Scan(table_scan aScan, rows_callback aReply) override;
  void Commit(table_transaction aTransaction, commit_callback aReply) override;

private:
  using body_callback = std::function<void(result<std::string, table_error>)>;

  void Post(const char* aPath,
            std::optional<std::string> aBody,
            body_callback aReply);
  void PostForRows(const char* aPath,
                   std::optional<std::string> aBody,
                   rows_callback aReply);

  http_client& mClient;
  platform_endpoint mEndpoint;
  http_request_owner mOwner;
};
