#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "Budget/BudgetSystem.h"
#include "Budget/ChargeBackup.h"
#include "FakeTable.h"

/// Method by which the budget tokens of a request are reserved.
enum class payment_method
{
  /// Grants of the budget system, which the model evaluates.
  Grants,
  /// An equal, fixed share of the budget for each node. Baseline.
  StaticShares,
  /// One table transaction per request, within the rate limit of the table.
  /// Baseline.
  PerRequest,
};

/// Nodes, budgets, request load and partition of one run.
struct model_settings
{
  std::uint64_t mSeed = 1;
  std::size_t mNodes = 4;
  std::size_t mBudgets = 1;
  /// Tokens of each budget.
  std::int64_t mTotal = 0;
  /// Requests per second over all nodes.
  double mRate = 10;
  /// Reservations are 1/4 to 5/4 of this, in tokens. A request uses 20 to 100 %
  /// of its reservation.
  std::int64_t mReservationBase = 2000;
  /// Simulated time of the run.
  std::int64_t mDurationSeconds = 0;
  /// Start and end, in seconds of the run, of a partition in which the last
  /// half of the nodes reaches neither the table nor the other half. No
  /// partition if they are equal.
  std::int64_t mPartitionStart = 0;
  std::int64_t mPartitionEnd = 0;
  /// Table transactions per second that are available to the requests of this
  /// model. Only used by the per-request baseline.
  double mTableRate = 300;
  /// Share of the requests, from 0 to 1, that the first node receives. The
  /// others receive equal shares of the remaining requests.
  double mFirstNodeShare = 0.25;
};

struct model_result
{
  std::uint64_t mRequests = 0;
  /// Requests whose reservation fitted into the remaining tokens of the budget
  /// over all nodes when they arrived.
  std::uint64_t mPayable = 0;
  /// Payable requests that were refused.
  std::uint64_t mFalseRefusals = 0;
  /// Payable requests, and those of them that were refused, that arrived while
  /// more than 5 % of the budget was left.
  std::uint64_t mPayableAbove = 0;
  std::uint64_t mFalseRefusalsAbove = 0;
  /// Tokens spent beyond the totals of the budgets.
  std::int64_t mOverspend = 0;
  std::uint64_t mTransactions = 0;
  std::uint64_t mRowsWritten = 0;
  std::uint64_t mRowsRead = 0;
  /// Unspent share of all budgets at the end of the run, from 0 to 1.
  double mUnspentShare = 0;
};

/// Deterministic simulation of a fleet, in time steps of 10 ms.
class fleet_model
{
public:
  fleet_model(payment_method aPayment, const model_settings& aSettings);
  model_result Run();

private:
  struct pending
  {
    request_id mId;
    std::size_t mBudget = 0;
    std::int64_t mTokens = 0;
    time_point mDeadline;
    bool mPayable = false;
    bool mAboveFivePercent = false;
  };

  struct node
  {
    std::unique_ptr<budget_system> mSystem;
    std::unique_ptr<charge_backup> mBackup;
    std::deque<pending> mWaiting;
    std::vector<std::int64_t> mShares;
  };

  /// Exact tokens of a budget over all nodes.
  struct actual_budget
  {
    std::int64_t mSpent = 0;
    std::int64_t mReserved = 0;
  };

  void GenerateRequest();
  void ProcessWaiting(std::size_t aNode);
  bool TryReserve(std::size_t aNode, const pending& aRequest, bool& aRefused);
  bool ReserveFromGrant(std::size_t aNode,
                        const pending& aRequest,
                        bool& aRefused);
  void StartRequest(std::size_t aNode, const pending& aRequest);
  void FinishRequest(std::size_t aNode, const pending& aRequest);
  void RecordRefusal(const pending& aRequest);
  void ExchangeMessages(std::size_t aNode);
  void UpdateBackups();
  bool IsPartitioned(std::size_t aNode) const;
  void Schedule(std::int64_t aMilliseconds, std::function<void()> aCallback);

  payment_method mPayment;
  model_settings mModelSettings;
  budget_settings mBudgetSettings;
  /// Separate generators for arrivals and usage, so that every payment method
  /// gets the same requests.
  std::mt19937_64 mArrivalRandom;
  std::mt19937_64 mUsageRandom;
  time_point mStart{ std::chrono::seconds(1) };
  time_point mNow = mStart;
  fake_table mTable;
  std::vector<node> mNodes;
  std::vector<budget_id> mBudgets;
  std::vector<actual_budget> mActualBudgets;
  double mTableTokens = 1;
  std::uint64_t mNextRequest = 0;
  std::multimap<time_point, std::function<void()>> mEvents;
  model_result mResult;
};
