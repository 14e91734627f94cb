#include "FleetModel.h"

#include <algorithm>

#include "Common/Hash.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep(10);
constexpr std::int64_t kStoreDelayMs = 5;
constexpr std::int64_t kPeerDelayMs = 2;
constexpr std::int64_t kServiceMs = 2000;
// A request is refused when it has waited this long for a grant or a table
// reply.
constexpr milliseconds kRequestTimeout(1200);
constexpr milliseconds kCallTimeout(1000);
constexpr seconds kMembershipInterval(1);

const account_id kAccount{ "clinic" };

} // namespace

fleet_model::fleet_model(payment_method aPayment,
                         const model_settings& aSettings)
  : mPayment(aPayment)
  , mModelSettings(aSettings)
  , mArrivalRandom(aSettings.mSeed)
  , mUsageRandom(aSettings.mSeed + 1)
{
  for (std::size_t i = 0; i < mModelSettings.mBudgets; ++i) {
    mBudgets.push_back({ "budget-" + std::to_string(i) });
    budget_row row;
    row.mTotal = mModelSettings.mTotal;
    mTable.Put(BudgetKey(mBudgets.back()), FormatBudgetRow(row));
  }
  mActualBudgets.resize(mModelSettings.mBudgets);
  for (std::size_t i = 0; i < mModelSettings.mNodes; ++i) {
    node& added = mNodes.emplace_back();
    const incarnation_id self{ { "node-" + std::to_string(i) }, 1 };
    added.mSystem =
      std::make_unique<budget_system>(self, mBudgetSettings, i + 1);
    added.mBackup =
      std::make_unique<charge_backup>(self, mBudgetSettings, 1000 + i);
    const auto nodes = static_cast<std::int64_t>(mModelSettings.mNodes);
    added.mShares.assign(mModelSettings.mBudgets,
                         mModelSettings.mTotal / nodes);
  }
}

model_result fleet_model::Run()
{
  const time_point end = mStart + seconds(mModelSettings.mDurationSeconds);
  std::exponential_distribution<double> arrivalInterval(mModelSettings.mRate);
  time_point nextArrival = mStart;
  time_point nextMembershipUpdate = mStart;
  for (; mNow < end; mNow += kStep) {
    if (nextMembershipUpdate <= mNow) {
      UpdateBackups();
      nextMembershipUpdate = mNow + kMembershipInterval;
    }
    while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
      const auto event = mEvents.extract(mEvents.begin());
      event.mapped()();
    }
    for (; nextArrival <= mNow;
         nextArrival += std::chrono::microseconds(
           static_cast<std::int64_t>(arrivalInterval(mArrivalRandom) * 1e6))) {
      GenerateRequest();
    }
    mTableTokens = std::min(std::max(1.0, mModelSettings.mTableRate),
                            mTableTokens + mModelSettings.mTableRate / 100);
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      ProcessWaiting(i);
      if (mPayment == payment_method::Grants) {
        ExchangeMessages(i);
      }
    }
  }
  for (const node& finished : mNodes) {
    mResult.mTransactions += finished.mSystem->Counters().mTransactions;
    mResult.mRowsWritten += finished.mSystem->Counters().mRowsWritten;
    mResult.mRowsRead += finished.mSystem->Counters().mRowsRead;
  }
  std::int64_t spent = 0;
  for (const actual_budget& budget : mActualBudgets) {
    spent += budget.mSpent;
    mResult.mOverspend +=
      std::max<std::int64_t>(0, budget.mSpent - mModelSettings.mTotal);
  }
  mResult.mUnspentShare = 1 - static_cast<double>(spent) /
                                static_cast<double>(mModelSettings.mTotal) /
                                static_cast<double>(mModelSettings.mBudgets);
  return mResult;
}

void fleet_model::GenerateRequest()
{
  std::uniform_real_distribution<double> unitInterval(0, 1);
  const double position = unitInterval(mArrivalRandom);
  std::size_t nodeIndex = 0;
  if (mNodes.size() > 1 && position >= mModelSettings.mFirstNodeShare) {
    const double otherPosition = (position - mModelSettings.mFirstNodeShare) /
                                 (1 - mModelSettings.mFirstNodeShare);
    nodeIndex = 1 + static_cast<std::size_t>(
                      otherPosition * static_cast<double>(mNodes.size() - 1));
  }
  pending request;
  request.mId = MakeRequestId(kAccount, std::to_string(mNextRequest++));
  request.mBudget = mArrivalRandom() % mModelSettings.mBudgets;
  request.mTokens = mModelSettings.mReservationBase / 4 +
                    static_cast<std::int64_t>(
                      mArrivalRandom() % static_cast<std::uint64_t>(
                                           mModelSettings.mReservationBase));
  request.mDeadline = mNow + kRequestTimeout;
  const actual_budget& actual = mActualBudgets[request.mBudget];
  const std::int64_t left =
    mModelSettings.mTotal - actual.mSpent - actual.mReserved;
  request.mPayable = left >= request.mTokens;
  request.mAboveFivePercent = left * 20 > mModelSettings.mTotal;
  ++mResult.mRequests;
  mResult.mPayable += request.mPayable ? 1 : 0;
  mResult.mPayableAbove +=
    request.mPayable && request.mAboveFivePercent ? 1 : 0;
  mNodes[nodeIndex].mWaiting.push_back(request);
}

void fleet_model::ProcessWaiting(std::size_t aNode)
{
  std::deque<pending> waiting;
  waiting.swap(mNodes[aNode].mWaiting);
  for (const pending& request : waiting) {
    bool refused = request.mDeadline <= mNow;
    if (!refused && TryReserve(aNode, request, refused)) {
      StartRequest(aNode, request);
    } else if (refused) {
      RecordRefusal(request);
    } else {
      mNodes[aNode].mWaiting.push_back(request);
    }
  }
}

bool fleet_model::TryReserve(std::size_t aNode,
                             const pending& aRequest,
                             bool& aRefused)
{
  const actual_budget& actual = mActualBudgets[aRequest.mBudget];
  switch (mPayment) {
    case payment_method::Grants:
      return ReserveFromGrant(aNode, aRequest, aRefused);
    case payment_method::StaticShares: {
      std::int64_t& share = mNodes[aNode].mShares[aRequest.mBudget];
      aRefused = share < aRequest.mTokens;
      share -= aRefused ? 0 : aRequest.mTokens;
      return !aRefused;
    }
    case payment_method::PerRequest:
      // The table has the exact remaining tokens. The request waits while the
      // node cannot reach the table or the rate limit is used up.
      aRefused = mModelSettings.mTotal - actual.mSpent - actual.mReserved <
                 aRequest.mTokens;
      if (aRefused || IsPartitioned(aNode) || mTableTokens < 1) {
        return false;
      }
      mTableTokens -= 1;
      ++mResult.mTransactions;
      return true;
  }
  return false;
}

bool fleet_model::ReserveFromGrant(std::size_t aNode,
                                   const pending& aRequest,
                                   bool& aRefused)
{
  const auto reserved = mNodes[aNode].mSystem->Reserve(
    aRequest.mId, kAccount, mBudgets[aRequest.mBudget], aRequest.mTokens, mNow);
  aRefused =
    !reserved.has_value() && reserved.error() != budget_error::AwaitingGrant;
  return reserved.has_value();
}

void fleet_model::StartRequest(std::size_t aNode, const pending& aRequest)
{
  mActualBudgets[aRequest.mBudget].mReserved += aRequest.mTokens;
  Schedule(kServiceMs, [=, this] { FinishRequest(aNode, aRequest); });
}

void fleet_model::FinishRequest(std::size_t aNode, const pending& aRequest)
{
  std::uniform_int_distribution<std::int64_t> percent(20, 100);
  const std::int64_t used = aRequest.mTokens * percent(mUsageRandom) / 100;
  mActualBudgets[aRequest.mBudget].mReserved -= aRequest.mTokens;
  mActualBudgets[aRequest.mBudget].mSpent += used;
  if (mPayment == payment_method::Grants) {
    const wall_time at(mNow.time_since_epoch());
    mNodes[aNode].mSystem->Settle(aRequest.mId, used, at, mNow);
  } else {
    mNodes[aNode].mShares[aRequest.mBudget] += aRequest.mTokens - used;
  }
}

void fleet_model::RecordRefusal(const pending& aRequest)
{
  mResult.mFalseRefusals += aRequest.mPayable ? 1 : 0;
  mResult.mFalseRefusalsAbove +=
    aRequest.mPayable && aRequest.mAboveFivePercent ? 1 : 0;
}

void fleet_model::ExchangeMessages(std::size_t aNode)
{
  budget_system* system = mNodes[aNode].mSystem.get();
  const budget_output out = system->Tick(mNow);
  const bool partitioned = IsPartitioned(aNode);
  const std::int64_t wait =
    partitioned ? kCallTimeout.count() : 2 * kStoreDelayMs;
  for (const budget_read& read : out.mReads) {
    Schedule(wait, [=, this] {
      if (partitioned) {
        system->OnRead(read.mId, table_error::Unavailable, mNow);
      } else {
        system->OnRead(read.mId, mTable.Read(read.mKeys), mNow);
      }
    });
  }
  for (const table_transaction& commit : out.mCommits) {
    Schedule(wait, [=, this] {
      if (partitioned) {
        system->OnCommit(commit.mId, table_error::Unavailable, mNow);
      } else {
        system->OnCommit(commit.mId, mTable.Commit(commit), mNow);
      }
    });
  }
  for (const hold_message& hold : out.mHolds) {
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      if (mNodes[i].mSystem->Self() == hold.mTo &&
          IsPartitioned(i) == partitioned) {
        Schedule(kPeerDelayMs, [=, this] {
          const auto held =
            mNodes[i].mBackup->OnHold(system->Self(), hold.mCharges, mNow);
          system->OnHoldReply(hold.mId, held, mNow);
        });
      }
    }
  }
  for (const drop_message& drop : out.mDrops) {
    for (node& peer : mNodes) {
      if (peer.mSystem->Self() == drop.mTo) {
        peer.mBackup->OnDrop(system->Self(), drop.mRequests);
      }
    }
  }
}

void fleet_model::UpdateBackups()
{
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    std::vector<incarnation_id> peers;
    for (std::size_t k = 1; k < mNodes.size(); ++k) {
      const std::size_t j = (i + k) % mNodes.size();
      if (IsPartitioned(i) == IsPartitioned(j)) {
        peers.push_back(mNodes[j].mSystem->Self());
      }
    }
    mNodes[i].mSystem->SetBackups(std::move(peers));
  }
}

bool fleet_model::IsPartitioned(std::size_t aNode) const
{
  return aNode >= mNodes.size() / 2 &&
         mNow >= mStart + seconds(mModelSettings.mPartitionStart) &&
         mNow < mStart + seconds(mModelSettings.mPartitionEnd);
}

void fleet_model::Schedule(std::int64_t aMilliseconds,
                           std::function<void()> aCallback)
{
  mEvents.emplace(mNow + milliseconds(aMilliseconds), std::move(aCallback));
}
