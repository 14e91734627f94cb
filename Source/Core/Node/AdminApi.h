#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Time.h"
#include "Config/ConfigEditor.h"
#include "Config/NodeSettings.h"
#include "Node/BudgetAdmin.h"
#include "Remote/HttpServerExchange.h"
#include "Remote/TableService.h"

class node_app;

/// HTTP API for operators under `/admin/v1`, used by the command line tool.
/// Every call needs the header `Authorization: Bearer ID:SECRET` with an
/// operator key of the node's settings.
class admin_api
{
public:
  explicit admin_api(node_app& aNode);
  ~admin_api();

  void Accept(const http_server_exchange_ptr& aExchange);
  /// Advances configuration edits in progress and answers the finished ones.
  void Tick(time_point aNow);

private:
  using rows_result = result<std::vector<table_row>, table_error>;
  using rows_handler = std::function<void(const std::vector<table_row>&)>;

  /// A configuration edit whose caller has no answer yet.
  struct pending_edit
  {
    http_server_exchange_ptr mExchange;
    std::shared_ptr<config_editor> mEditor;
  };

  const operator_key* FindOperator(std::string_view aAuthorization) const;
  void Route(const http_server_exchange_ptr& aExchange,
             const operator_key& aOperator);
  void StartDraining(const http_server_exchange_ptr& aExchange);
  void GetConfig(const http_server_exchange_ptr& aExchange);
  void GetHistory(const http_server_exchange_ptr& aExchange);
  void PutConfig(const http_server_exchange_ptr& aExchange,
                 const operator_key& aOperator);
  void ImportConfig(const http_server_exchange_ptr& aExchange,
                    const operator_key& aOperator);
  void CommitImport(const http_server_exchange_ptr& aExchange,
                    const table_transaction& aTransaction,
                    unsigned aAttempt);
  void ReplyEditOutcome(const pending_edit& aEdit);
  void ScanSections(const http_server_exchange_ptr& aExchange,
                    std::string aAfter,
                    const std::shared_ptr<std::vector<table_row>>& aRows);
  /// Reads rows of the table service. Replies with 503 `store_unavailable`
  /// instead of calling the handler when the read fails.
  void ReadRows(const http_server_exchange_ptr& aExchange,
                std::vector<std::string> aKeys,
                rows_handler aHandler);

  node_app& mNode;
  std::mt19937_64 mRandom;
  std::vector<pending_edit> mEdits;
  budget_admin mBudgets;
};
