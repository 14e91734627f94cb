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
enum class payment
{
  /// Grants of the budget system, which the model evaluates.
  Escrow,
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
  std::int64_t mTokens = 2000;
  /// Simulated time of the run.
  std::int64_t mSeconds = 0;
  /// Start and end, in seconds of the run, of a partition in which the last
  /// half of the nodes reaches neither the table nor the other half. No
  /// partition if they are equal.
  std::int64_t mCutFrom = 0;
  std::int64_t mCutTo = 0;
  /// Table transactions per second that are available to the requests of this
  /// model. Only used by the per-request baseline.
  double mTableRate = 300;
  /// Share of the requests, from 0 to 1, that the first node receives. The
  /// others receive equal shares of the remaining requests.
  double mFirstShare = 0.25;
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
  std::uint64_t mFalseAbove = 0;
  /// Tokens spent beyond the totals of the budgets.
  std::int64_t mOverspend = 0;
  std::uint64_t mTransactions = 0;
  std::uint64_t mRows = 0;
  std::uint64_t mRowsRead = 0;
  /// Unspent share of all budgets at the end of the run, from 0 to 1.
  double mLeft = 0;
};

/// Deterministic simulation of a fleet, in time steps of 10 ms.
class fleet_model
{
public:
  fleet_model(payment aPayment, const model_settings& aSettings);
  model_result Run();

private:
  struct pending
  {
    request_id mId;
    std::size_t mBudget = 0;
    std::int64_t mTokens = 0;
    time_point mUntil;
    bool mPayable = false;
    bool mAbove = false;
  };

  struct node
  {
    std::unique_ptr<budget_system> mSystem;
    std::unique_ptr<charge_backup> mBackup;
    std::deque<pending> mWaiting;
    std::vector<std::int64_t> mShares;
  };

  /// Exact tokens of a budget over all nodes.
  struct truth
  {
    std::int64_t mSpent = 0;
    std::int64_t mOpen = 0;
  };

  void Arrive();
  void Offer(std::size_t aNode);
  bool TryPay(std::size_t aNode, const pending& aRequest, bool& aRefused);
  bool PayEscrow(std::size_t aNode, const pending& aRequest, bool& aRefused);
  void Started(std::size_t aNode, const pending& aRequest);
  void Finished(std::size_t aNode, const pending& aRequest);
  void Refused(const pending& aRequest);
  void Carry(std::size_t aNode);
  void Members();
  bool IsCut(std::size_t aNode) const;
  void After(std::int64_t aMilliseconds, std::function<void()> aStep);

  payment mPayment;
  model_settings mModel;
  budget_settings mSettings;
  /// Separate generators for arrivals and usage, so that every payment method
  /// gets the same requests.
  std::mt19937_64 mArrivals;
  std::mt19937_64 mUse;
  time_point mStart{ std::chrono::seconds(1) };
  time_point mNow = mStart;
  fake_table mTable;
  std::vector<node> mNodes;
  std::vector<budget_id> mBudgets;
  std::vector<truth> mTruth;
  double mTableTokens = 1;
  std::uint64_t mNextRequest = 0;
  std::multimap<time_point, std::function<void()>> mEvents;
  model_result mResult;
};
