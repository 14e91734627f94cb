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

/// How requests are paid for.
enum class payment
{
  /// The budget system under measurement.
  Escrow,
  /// Equal fixed shares for the nodes that serve the budget.
  StaticShares,
  /// One store transaction per request, within the table's rate limit.
  PerRequest,
};

/// One run: nodes that serve budgets, requests, and a partition.
struct model_settings
{
  std::uint64_t mSeed = 1;
  std::size_t mNodes = 4;
  std::size_t mBudgets = 1;
  /// Tokens of each budget.
  std::int64_t mTotal = 0;
  /// Requests per second over all nodes.
  double mRate = 10;
  /// Largest reservation in tokens; use is 20 to 100 % of it.
  std::int64_t mTokens = 2000;
  std::int64_t mSeconds = 0;
  /// Part of the run in which the last half of the nodes reaches neither the
  /// store nor the other half; none when equal.
  std::int64_t mCutFrom = 0;
  std::int64_t mCutTo = 0;
  /// Transactions per second that the table grants to these requests in the
  /// per-request baseline.
  double mTableRate = 300;
  /// The first node gets this share of the requests, the others equal parts.
  double mFirstShare = 0.25;
};

struct model_result
{
  std::uint64_t mRequests = 0;
  /// Requests that the true remaining tokens could have paid.
  std::uint64_t mPayable = 0;
  std::uint64_t mFalseRefusals = 0;
  /// The same while more than 5 % of the budget was left.
  std::uint64_t mPayableAbove = 0;
  std::uint64_t mFalseAbove = 0;
  std::int64_t mOverspend = 0;
  std::uint64_t mTransactions = 0;
  std::uint64_t mRows = 0;
  std::uint64_t mRowsRead = 0;
  double mLeft = 0;
};

/// Deterministic model of a fleet, in steps of 10 ms.
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
  /// Separate generators, so that every way of payment meets the same requests.
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
