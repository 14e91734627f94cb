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
constexpr milliseconds kPatience(1200);
constexpr milliseconds kCallTimeout(1000);
constexpr seconds kMembership(1);

const account_id kAccount{ "clinic" };

} // namespace

fleet_model::fleet_model(payment aPayment, const model_settings& aSettings)
  : mPayment(aPayment)
  , mModel(aSettings)
  , mArrivals(aSettings.mSeed)
  , mUse(aSettings.mSeed + 1)
{
  for (std::size_t i = 0; i < mModel.mBudgets; ++i) {
    mBudgets.push_back({ "budget-" + std::to_string(i) });
    budget_row row;
    row.mTotal = mModel.mTotal;
    mTable.Put(BudgetKey(mBudgets.back()), FormatBudgetRow(row));
  }
  mTruth.resize(mModel.mBudgets);
  for (std::size_t i = 0; i < mModel.mNodes; ++i) {
    node& added = mNodes.emplace_back();
    const holder_id self{ { "node-" + std::to_string(i) }, 1 };
    added.mSystem = std::make_unique<budget_system>(self, mSettings, i + 1);
    added.mBackup = std::make_unique<charge_backup>(self, mSettings, 1000 + i);
    const auto nodes = static_cast<std::int64_t>(mModel.mNodes);
    added.mShares.assign(mModel.mBudgets, mModel.mTotal / nodes);
  }
}

model_result fleet_model::Run()
{
  const time_point end = mStart + seconds(mModel.mSeconds);
  std::exponential_distribution<double> gap(mModel.mRate);
  time_point next = mStart;
  time_point members = mStart;
  for (; mNow < end; mNow += kStep) {
    if (members <= mNow) {
      Members();
      members = mNow + kMembership;
    }
    while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
      const auto event = mEvents.extract(mEvents.begin());
      event.mapped()();
    }
    for (; next <= mNow; next += std::chrono::microseconds(
                           static_cast<std::int64_t>(gap(mArrivals) * 1e6))) {
      Arrive();
    }
    mTableTokens = std::min(std::max(1.0, mModel.mTableRate),
                            mTableTokens + mModel.mTableRate / 100);
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      Offer(i);
      if (mPayment == payment::Escrow) {
        Carry(i);
      }
    }
  }
  for (const node& done : mNodes) {
    mResult.mTransactions += done.mSystem->Counters().mTransactions;
    mResult.mRows += done.mSystem->Counters().mRowsWritten;
    mResult.mRowsRead += done.mSystem->Counters().mRowsRead;
  }
  std::int64_t spent = 0;
  for (const truth& budget : mTruth) {
    spent += budget.mSpent;
    mResult.mOverspend +=
      std::max<std::int64_t>(0, budget.mSpent - mModel.mTotal);
  }
  mResult.mLeft = 1 - static_cast<double>(spent) /
                        static_cast<double>(mModel.mTotal) /
                        static_cast<double>(mModel.mBudgets);
  return mResult;
}

void fleet_model::Arrive()
{
  std::uniform_real_distribution<double> part(0, 1);
  const double where = part(mArrivals);
  std::size_t place = 0;
  if (mNodes.size() > 1 && where >= mModel.mFirstShare) {
    const double rest = (where - mModel.mFirstShare) / (1 - mModel.mFirstShare);
    place = 1 + static_cast<std::size_t>(
                  rest * static_cast<double>(mNodes.size() - 1));
  }
  pending request;
  request.mId = MakeRequestId(kAccount, std::to_string(mNextRequest++));
  request.mBudget = mArrivals() % mModel.mBudgets;
  request.mTokens = mModel.mTokens / 4 +
                    static_cast<std::int64_t>(
                      mArrivals() % static_cast<std::uint64_t>(mModel.mTokens));
  request.mUntil = mNow + kPatience;
  const truth& known = mTruth[request.mBudget];
  const std::int64_t left = mModel.mTotal - known.mSpent - known.mOpen;
  request.mPayable = left >= request.mTokens;
  request.mAbove = left * 20 > mModel.mTotal;
  ++mResult.mRequests;
  mResult.mPayable += request.mPayable ? 1 : 0;
  mResult.mPayableAbove += request.mPayable && request.mAbove ? 1 : 0;
  mNodes[place].mWaiting.push_back(request);
}

void fleet_model::Offer(std::size_t aNode)
{
  std::deque<pending> waiting;
  waiting.swap(mNodes[aNode].mWaiting);
  for (const pending& request : waiting) {
    bool refused = request.mUntil <= mNow;
    if (!refused && TryPay(aNode, request, refused)) {
      Started(aNode, request);
    } else if (refused) {
      Refused(request);
    } else {
      mNodes[aNode].mWaiting.push_back(request);
    }
  }
}

bool fleet_model::TryPay(std::size_t aNode,
                         const pending& aRequest,
                         bool& aRefused)
{
  const truth& known = mTruth[aRequest.mBudget];
  switch (mPayment) {
    case payment::Escrow:
      return PayEscrow(aNode, aRequest, aRefused);
    case payment::StaticShares: {
      std::int64_t& share = mNodes[aNode].mShares[aRequest.mBudget];
      aRefused = share < aRequest.mTokens;
      share -= aRefused ? 0 : aRequest.mTokens;
      return !aRefused;
    }
    case payment::PerRequest:
      // The table has the exact remaining tokens. The request waits while the
      // node cannot reach the table or the rate limit is used up.
      aRefused = mModel.mTotal - known.mSpent - known.mOpen < aRequest.mTokens;
      if (aRefused || IsCut(aNode) || mTableTokens < 1) {
        return false;
      }
      mTableTokens -= 1;
      ++mResult.mTransactions;
      return true;
  }
  return false;
}

bool fleet_model::PayEscrow(std::size_t aNode,
                            const pending& aRequest,
                            bool& aRefused)
{
  const auto reserved = mNodes[aNode].mSystem->Reserve(
    aRequest.mId, kAccount, mBudgets[aRequest.mBudget], aRequest.mTokens, mNow);
  aRefused =
    !reserved.has_value() && reserved.error() != budget_error::AwaitingGrant;
  return reserved.has_value();
}

void fleet_model::Started(std::size_t aNode, const pending& aRequest)
{
  mTruth[aRequest.mBudget].mOpen += aRequest.mTokens;
  After(kServiceMs, [=, this] { Finished(aNode, aRequest); });
}

void fleet_model::Finished(std::size_t aNode, const pending& aRequest)
{
  std::uniform_int_distribution<std::int64_t> percent(20, 100);
  const std::int64_t used = aRequest.mTokens * percent(mUse) / 100;
  mTruth[aRequest.mBudget].mOpen -= aRequest.mTokens;
  mTruth[aRequest.mBudget].mSpent += used;
  if (mPayment == payment::Escrow) {
    const wall_time at(mNow.time_since_epoch());
    mNodes[aNode].mSystem->Settle(aRequest.mId, used, at, mNow);
  } else {
    mNodes[aNode].mShares[aRequest.mBudget] += aRequest.mTokens - used;
  }
}

void fleet_model::Refused(const pending& aRequest)
{
  mResult.mFalseRefusals += aRequest.mPayable ? 1 : 0;
  mResult.mFalseAbove += aRequest.mPayable && aRequest.mAbove ? 1 : 0;
}

void fleet_model::Carry(std::size_t aNode)
{
  budget_system* system = mNodes[aNode].mSystem.get();
  const budget_output out = system->Tick(mNow);
  const bool cut = IsCut(aNode);
  const std::int64_t wait = cut ? kCallTimeout.count() : 2 * kStoreDelayMs;
  for (const budget_read& read : out.mReads) {
    After(wait, [=, this] {
      if (cut) {
        system->OnRead(read.mId, table_error::Unavailable, mNow);
      } else {
        system->OnRead(read.mId, mTable.Read(read.mKeys), mNow);
      }
    });
  }
  for (const table_transaction& commit : out.mCommits) {
    After(wait, [=, this] {
      if (cut) {
        system->OnCommit(commit.mId, table_error::Unavailable, mNow);
      } else {
        system->OnCommit(commit.mId, mTable.Commit(commit), mNow);
      }
    });
  }
  for (const hold_message& hold : out.mHolds) {
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      if (mNodes[i].mSystem->Self() == hold.mTo && IsCut(i) == cut) {
        After(kPeerDelayMs, [=, this] {
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

void fleet_model::Members()
{
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    std::vector<holder_id> peers;
    for (std::size_t k = 1; k < mNodes.size(); ++k) {
      const std::size_t j = (i + k) % mNodes.size();
      if (IsCut(i) == IsCut(j)) {
        peers.push_back(mNodes[j].mSystem->Self());
      }
    }
    mNodes[i].mSystem->SetBackups(std::move(peers));
  }
}

bool fleet_model::IsCut(std::size_t aNode) const
{
  return aNode >= mNodes.size() / 2 &&
         mNow >= mStart + seconds(mModel.mCutFrom) &&
         mNow < mStart + seconds(mModel.mCutTo);
}

void fleet_model::After(std::int64_t aMilliseconds, std::function<void()> aStep)
{
  mEvents.emplace(mNow + milliseconds(aMilliseconds), std::move(aStep));
}
