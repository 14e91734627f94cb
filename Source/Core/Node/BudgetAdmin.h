#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "Budget/BudgetOperations.h"
#include "Common/Time.h"
#include "Remote/HttpServerExchange.h"
#include "Remote/TableService.h"

/// Operator commands on budgets under `/admin/v1/budgets/`.
///
/// | call | effect |
/// | --- | --- |
/// | `GET show?budget=B` | the budget row, with the grants by holder |
/// | `POST create` `{"budget","tokens"}` | a new budget |
/// | `POST topup` `{"budget","tokens"}` | adds prepaid tokens |
/// | `POST writeoff` `{"node","incarnation"}` | returns the grants of a holder
///   that will not come back |
/// | `GET reconcile?budget=B` | compares all charges with the
///   budget row |
class budget_admin
{
public:
  budget_admin(table_service& aTable, const time_source& aTime);

  void Accept(const http_server_exchange_ptr& aExchange);

private:
  using rows_result = result<std::vector<table_row>, table_error>;
  using rows_handler = std::function<void(std::vector<table_row>)>;
  using transaction_result = result<table_transaction, budget_operation_error>;
  /// Builds the transaction of a command from the current row. A transaction
  /// without writes means that there is nothing to change.
  using transaction_builder =
    std::function<transaction_result(const table_row&, const transaction_id&)>;

  struct command
  {
    http_server_exchange_ptr mExchange;
    std::string mKey;
    transaction_builder mBuildTransaction;
    std::function<void()> mOnCommitted;
    unsigned mAttempts = 0;
  };

  void ShowRow(const http_server_exchange_ptr& aExchange);
  void CreateOrTopUp(const http_server_exchange_ptr& aExchange, bool aCreate);
  void WriteOff(const http_server_exchange_ptr& aExchange);
  void ReturnNextPage(const http_server_exchange_ptr& aExchange,
                      const incarnation_id& aHolder,
                      std::int64_t aReturned);
  void ReturnIndexedGrants(const http_server_exchange_ptr& aExchange,
                           const incarnation_id& aHolder,
                           const std::vector<table_row>& aIndex,
                           std::int64_t aReturned);
  void ReconcileBudget(const http_server_exchange_ptr& aExchange);
  void ScanSegments(const http_server_exchange_ptr& aExchange,
                    const budget_id& aBudget,
                    const std::string& aAfter,
                    const std::shared_ptr<std::vector<table_row>>& aSegments);
  void ReplyReconcileReport(const http_server_exchange_ptr& aExchange,
                            const budget_id& aBudget,
                            const std::vector<table_row>& aSegments);

  void ReadAndCommit(const std::shared_ptr<command>& aCommand);
  void Commit(const std::shared_ptr<command>& aCommand,
              const table_transaction& aTransaction);
  void ReadRows(const http_server_exchange_ptr& aExchange,
                std::vector<std::string> aKeys,
                const rows_handler& aHandler);
  transaction_id NewTransactionId() { return { mRandom(), mRandom() }; }

  table_service& mTable;
  std::mt19937_64 mRandom;
};
