#include "Node/BudgetAdmin.h"

#include <utility>

#include <libsoup/soup.h>
#include <nlohmann/json.hpp>

namespace {

using json = nlohmann::json;

constexpr std::string_view kPathPrefix = "/admin/v1/budgets/";
constexpr std::uint32_t kScanPageSize = 100;
// Commits of one command, counting conflicts and lost replies, before the
// operator gets `outcome_unknown`.
constexpr unsigned kMaxCommitAttempts = 8;

void ReplyTableError(http_server_exchange& aExchange, table_error aError)
{
  aExchange.ReplyError(SOUP_STATUS_SERVICE_UNAVAILABLE,
                       "store_unavailable",
                       TableErrorName(aError));
}

void ReplyOperationError(http_server_exchange& aExchange,
                         budget_operation_error aError)
{
  aExchange.ReplyError(SOUP_STATUS_CONFLICT,
                       BudgetOperationErrorName(aError),
                       "nothing was changed");
}

json FormatRow(const budget_id& aBudget, const budget_row& aRow)
{
  json holders = json::array();
  for (const auto& [holder, tokens] : aRow.mOutstanding) {
    holders.push_back(
      { { "holder", FormatIncarnation(holder) }, { "granted", tokens } });
  }
  return {
    { "budget", aBudget.mName },       { "total", aRow.mTotal },
    { "spent", aRow.mSpent },          { "granted", aRow.OutstandingSum() },
    { "available", aRow.Available() }, { "segments", aRow.mNextSegment },
    { "holders", std::move(holders) }
  };
}

json FormatReconcileReport(const budget_id& aBudget,
                           const reconcile_report& aReport)
{
  json findings = json::array();
  for (const finding& finding : aReport.mFindings) {
    findings.push_back({ { "kind", ReconcileFindingName(finding.mKind) },
                         { "key", finding.mKey },
                         { "number", finding.mNumber } });
  }
  return {
    { "budget", aBudget.mName },         { "clean", aReport.IsClean() },
    { "total", aReport.mTotal },         { "spent", aReport.mSpent },
    { "granted", aReport.mOutstanding }, { "charged", aReport.mCharged },
    { "charges", aReport.mCharges },     { "segments", aReport.mSegments },
    { "findings", std::move(findings) }
  };
}

bool ParseAmount(std::string_view aBody,
                 budget_id& aBudget,
                 std::int64_t& aTokens)
{
  const json body = json::parse(aBody, nullptr, false);
  const bool wellFormed = body.is_object() && body.contains("budget") &&
                          body.at("budget").is_string() &&
                          body.contains("tokens") &&
                          body.at("tokens").is_number_integer();
  if (!wellFormed) {
    return false;
  }
  aBudget.mName = body.at("budget").get<std::string>();
  aTokens = body.at("tokens").get<std::int64_t>();
  return true;
}

bool ParseIncarnation(std::string_view aBody, incarnation_id& aHolder)
{
  const json body = json::parse(aBody, nullptr, false);
  const bool wellFormed =
    body.is_object() && body.contains("node") && body.at("node").is_string() &&
    body.contains("incarnation") && body.at("incarnation").is_number_unsigned();
  if (!wellFormed) {
    return false;
  }
  aHolder.mNode.mName = body.at("node").get<std::string>();
  aHolder.mIncarnation = body.at("incarnation").get<std::uint64_t>();
  return true;
}

} // namespace

budget_admin::budget_admin(table_service& aTable, const time_source& aTime)
  : mTable(aTable)
  , mRandom(
      std::random_device{}() ^
      static_cast<std::uint64_t>(aTime.WallNow().time_since_epoch().count()))
{
}

void budget_admin::Accept(const http_server_exchange_ptr& aExchange)
{
  std::string_view action = aExchange->Path();
  action.remove_prefix(std::min(kPathPrefix.size(), action.size()));
  const bool isGet = aExchange->Method() == "GET";
  if (action == "show" && isGet) {
    ShowRow(aExchange);
  } else if (action == "reconcile" && isGet) {
    ReconcileBudget(aExchange);
  } else if (action == "create" && !isGet) {
    CreateOrTopUp(aExchange, true);
  } else if (action == "topup" && !isGet) {
    CreateOrTopUp(aExchange, false);
  } else if (action == "writeoff" && !isGet) {
    WriteOff(aExchange);
  } else {
    aExchange->ReplyError(
      SOUP_STATUS_NOT_FOUND, "not_found", "no such budget command");
  }
}

void budget_admin::ShowRow(const http_server_exchange_ptr& aExchange)
{
  const budget_id budget{ aExchange->Query("budget") };
  ReadRows(aExchange,
           { BudgetKey(budget) },
           [aExchange, budget](const std::vector<table_row>& aRows) {
             const auto row = ShowBudget(aRows.front());
             if (!row) {
               ReplyOperationError(*aExchange, row.error());
               return;
             }
             aExchange->ReplyJson(SOUP_STATUS_OK,
                                  FormatRow(budget, row.value()));
           });
}

void budget_admin::CreateOrTopUp(const http_server_exchange_ptr& aExchange,
                                 bool aCreate)
{
  budget_id budget;
  std::int64_t tokens = 0;
  if (!ParseAmount(aExchange->Body(), budget, tokens)) {
    aExchange->ReplyError(SOUP_STATUS_BAD_REQUEST,
                          "invalid_request",
                          "body: expected budget and tokens");
    return;
  }
  auto change = std::make_shared<command>();
  change->mExchange = aExchange;
  change->mKey = BudgetKey(budget);
  change->mBuildTransaction =
    [budget, tokens, aCreate](const table_row& aRow,
                              const transaction_id& aId) {
      return aCreate ? CreateBudget(budget, aRow, tokens, aId)
                     : TopUpBudget(budget, aRow, tokens, aId);
    };
  change->mOnCommitted = [aExchange, budget] {
    aExchange->ReplyJson(SOUP_STATUS_OK,
                         { { "budget", budget.mName }, { "done", true } });
  };
  ReadAndCommit(change);
}

void budget_admin::WriteOff(const http_server_exchange_ptr& aExchange)
{
  incarnation_id holder;
  if (!ParseIncarnation(aExchange->Body(), holder)) {
    aExchange->ReplyError(SOUP_STATUS_BAD_REQUEST,
                          "invalid_request",
                          "body: expected node and incarnation");
    return;
  }
  auto writeOff = std::make_shared<command>();
  writeOff->mExchange = aExchange;
  writeOff->mKey = HolderKey(holder);
  writeOff->mBuildTransaction = [holder](const table_row& aRow,
                                         const transaction_id& aId) {
    return WriteOffHolder(holder, aRow, aId);
  };
  writeOff->mOnCommitted = [this, aExchange, holder] {
    ReturnNextPage(aExchange, holder, 0);
  };
  ReadAndCommit(writeOff);
}

/// Returns the grants of a fenced holder, one page of budgets at a time. Each
/// page deletes the index rows it handled, so every scan starts at the first
/// remaining row.
void budget_admin::ReturnNextPage(const http_server_exchange_ptr& aExchange,
                                  const incarnation_id& aHolder,
                                  std::int64_t aReturned)
{
  mTable.Scan(
    { GrantPrefix(aHolder), "", kScanPageSize },
    [this, aExchange, aHolder, aReturned](const rows_result& aReply) {
      if (aReply.has_error()) {
        ReplyTableError(*aExchange, aReply.error());
        return;
      }
      if (aReply.value().empty()) {
        aExchange->ReplyJson(SOUP_STATUS_OK,
                             { { "holder", FormatIncarnation(aHolder) },
                               { "returned", aReturned } });
        return;
      }
      ReturnIndexedGrants(aExchange, aHolder, aReply.value(), aReturned);
    });
}

void budget_admin::ReturnIndexedGrants(
  const http_server_exchange_ptr& aExchange,
  const incarnation_id& aHolder,
  const std::vector<table_row>& aIndex,
  std::int64_t aReturned)
{
  std::vector<std::string> keys{ HolderKey(aHolder) };
  for (const table_row& index : aIndex) {
    const std::string budget = index.mKey.substr(GrantPrefix(aHolder).size());
    keys.push_back(BudgetKey({ budget }));
  }
  ReadRows(aExchange,
           std::move(keys),
           [this, aExchange, aHolder, aReturned](std::vector<table_row> aRows) {
             const std::uint64_t holderVersion = aRows.front().mVersion;
             aRows.erase(aRows.begin());
             returned_grants page =
               ReturnGrants(aHolder, holderVersion, aRows, NewTransactionId());
             if (page.mTransaction.mWrites.empty()) {
               aExchange->ReplyError(
                 SOUP_STATUS_CONFLICT,
                 "unreadable_rows",
                 "the remaining budget rows cannot be read");
               return;
             }
             auto change = std::make_shared<command>();
             change->mExchange = aExchange;
             change->mOnCommitted =
               [this, aExchange, aHolder, total = aReturned + page.mTokens] {
                 ReturnNextPage(aExchange, aHolder, total);
               };
             Commit(change, page.mTransaction);
           });
}

void budget_admin::ReconcileBudget(const http_server_exchange_ptr& aExchange)
{
  ScanSegments(aExchange,
               { aExchange->Query("budget") },
               "",
               std::make_shared<std::vector<table_row>>());
}

/// Collects all ledger segments, then reads the budget row. In this order the
/// row covers every segment read, also when charges are added meanwhile.
void budget_admin::ScanSegments(
  const http_server_exchange_ptr& aExchange,
  const budget_id& aBudget,
  const std::string& aAfter,
  const std::shared_ptr<std::vector<table_row>>& aSegments)
{
  mTable.Scan({ SegmentPrefix(aBudget), aAfter, kScanPageSize },
              [this, aExchange, aBudget, aSegments](const rows_result& aReply) {
                if (aReply.has_error()) {
                  ReplyTableError(*aExchange, aReply.error());
                  return;
                }
                const auto& page = aReply.value();
                aSegments->insert(aSegments->end(), page.begin(), page.end());
                if (page.size() == kScanPageSize) {
                  ScanSegments(aExchange, aBudget, page.back().mKey, aSegments);
                  return;
                }
                ReplyReconcileReport(aExchange, aBudget, *aSegments);
              });
}

void budget_admin::ReplyReconcileReport(
  const http_server_exchange_ptr& aExchange,
  const budget_id& aBudget,
  const std::vector<table_row>& aSegments)
{
  ReadRows(
    aExchange,
    { BudgetKey(aBudget) },
    [aExchange, aBudget, aSegments](const std::vector<table_row>& aRows) {
      const reconcile_report report =
        Reconcile(aBudget, aRows.front(), aSegments);
      aExchange->ReplyJson(SOUP_STATUS_OK,
                           FormatReconcileReport(aBudget, report));
    });
}

void budget_admin::ReadAndCommit(const std::shared_ptr<command>& aCommand)
{
  const auto exchange = aCommand->mExchange;
  ReadRows(exchange,
           { aCommand->mKey },
           [this, aCommand](const std::vector<table_row>& aRows) {
             const transaction_result transaction =
               aCommand->mBuildTransaction(aRows.front(), NewTransactionId());
             if (transaction.has_error()) {
               ReplyOperationError(*aCommand->mExchange, transaction.error());
               return;
             }
             if (transaction.value().mWrites.empty()) {
               aCommand->mOnCommitted();
               return;
             }
             Commit(aCommand, transaction.value());
           });
}

/// Commits until the outcome is known. After a lost reply the same transaction
/// is sent again; after a conflict the command starts again with a new read.
void budget_admin::Commit(const std::shared_ptr<command>& aCommand,
                          const table_transaction& aTransaction)
{
  mTable.Commit(
    aTransaction,
    [this, aCommand, aTransaction](
      const result<commit_reply, table_error>& aReply) {
      if (aReply.has_value() && aReply.value().mCommitted) {
        aCommand->mOnCommitted();
        return;
      }
      if (++aCommand->mAttempts >= kMaxCommitAttempts) {
        aCommand->mExchange->ReplyError(
          SOUP_STATUS_SERVICE_UNAVAILABLE,
          "outcome_unknown",
          "the store did not confirm the change; show the budget before "
          "repeating the command");
        return;
      }
      if (aReply.has_error()) {
        Commit(aCommand, aTransaction);
      } else if (aCommand->mBuildTransaction) {
        ReadAndCommit(aCommand);
      } else {
        aCommand->mOnCommitted();
      }
    });
}

void budget_admin::ReadRows(const http_server_exchange_ptr& aExchange,
                            std::vector<std::string> aKeys,
                            const rows_handler& aHandler)
{
  mTable.Read(std::move(aKeys),
              [aExchange, aHandler](const rows_result& aReply) {
                if (aReply.has_error()) {
                  ReplyTableError(*aExchange, aReply.error());
                } else if (aReply.value().empty()) {
                  ReplyTableError(*aExchange, table_error::Malformed);
                } else {
                  aHandler(aReply.value());
                }
              });
}
