// Parts of `token_allowance` that keep the rows of accounts whole when the
// store comes back from an older copy, which begins a new era.
//
// The rows of the copy lack what was granted after it was taken. Every node
// that knew a newer state of a row adds the difference, once for all nodes: a
// row tells which state of the era before it accounts for. No node draws tokens
// until the others have had the time to do so, and what no node can state stays
// reserved.

#include "Gateway/TokenAllowance.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Common/Log.h"
#include "Gateway/StoreEra.h"

namespace {

using std::chrono::milliseconds;

// Time after the begin of an era in which the nodes in contact with the store
// add what they know. Each calls the store at least once a second.
constexpr milliseconds kSettleTime(2000);
// Limit of the own grants and takeovers that are remembered for an account.
constexpr std::size_t kMaxRecentGrants = 64;

double Seconds(milliseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

void token_allowance::OnStoreEra(std::uint64_t aEra, time_point aNow)
{
  if (aEra <= mEra) {
    return;
  }
  if (std::exchange(mEra, aEra) == 0) {
    return;
  }
  mEraBeganAt = aNow;
  std::size_t rows = 0;
  for (auto& [account, state] : mAccounts) {
    if (state.mRowKnown) {
      state.mLostState = { RowState(state), state.mGranted };
      ++rows;
    } else if (state.mLostState) {
      // The other nodes had no word of this state in the era before, so the row
      // may account for a later state without it.
      state.mReissued += RecentTokens(state, false, aNow);
    }
    state.mReissued += RecentTokens(state, true, aNow);
    state.mRowKnown = false;
    state.mNextReadAt = aNow;
  }
  Log(log_level::Warning,
      "grants_reviewed",
      { Field("era", aEra), Field("accounts", rows) });
}

std::int64_t token_allowance::RecentTokens(const account_state& aState,
                                           bool aTakenOver,
                                           time_point aNow)
{
  std::int64_t sum = 0;
  for (const recent_grant& grant : aState.mRecentGrants) {
    if (grant.mTakenOver == aTakenOver &&
        aNow <= grant.mAt + kMaxStoreCopyAge) {
      sum += grant.mTokens;
    }
  }
  return std::max<std::int64_t>(sum, 0);
}

void token_allowance::RecordGrant(account_state& aState,
                                  std::int64_t aTokens,
                                  bool aTakenOver,
                                  time_point aNow)
{
  if (aTokens == 0) {
    return;
  }
  std::erase_if(aState.mRecentGrants, [aNow](const recent_grant& aGrant) {
    return aNow > aGrant.mAt + kMaxStoreCopyAge;
  });
  if (aState.mRecentGrants.size() >= kMaxRecentGrants) {
    // The oldest counts as taken with the next one of its kind.
    const recent_grant oldest = aState.mRecentGrants.front();
    aState.mRecentGrants.pop_front();
    const auto next = std::ranges::find(
      aState.mRecentGrants, oldest.mTakenOver, &recent_grant::mTakenOver);
    if (next != aState.mRecentGrants.end()) {
      next->mTokens += oldest.mTokens;
    }
  }
  aState.mRecentGrants.push_back({ aNow, aTokens, aTakenOver });
}

row_state token_allowance::RowState(const account_state& aState)
{
  return { aState.mRow.mEra, aState.mVersion };
}

void token_allowance::DropMergedState(account_state& aState) const
{
  const row_state accounted =
    IsOfCopy(aState.mRow.mEra) ? RowState(aState) : aState.mRow.mCopy;
  if (aState.mLostState && aState.mLostState->mState <= accounted) {
    aState.mLostState.reset();
  }
}

bool token_allowance::HasUnmergedState(const account_state& aState)
{
  return aState.mLostState || aState.mReissued > 0;
}

grant_row token_allowance::NextRow(const account_state& aState,
                                   std::int64_t aAmount,
                                   std::uint64_t aSequence,
                                   time_point aNow) const
{
  grant_row row = aState.mRow;
  row.SetWriter({ mRun, aSequence });
  const milliseconds now = StoreTimeAt(aNow);
  if (IsOfCopy(row.mEra)) {
    row.mCopy = RowState(aState);
    row.mCopyGranted = row.mGranted;
    // About as much was granted after the copy as in the time before it.
    row.mReserved += row.mRecent;
    row.mSettlesAt = aState.mVersion > 0 ? now + kSettleTime : milliseconds(0);
  }
  row.mEra = mEra;
  std::int64_t merged = aState.mReissued;
  if (aState.mLostState && aState.mLostState->mState > row.mCopy) {
    // Tokens that were returned since the copy stay granted.
    merged +=
      std::max<std::int64_t>(aState.mLostState->mGranted - row.mCopyGranted, 0);
    row.mCopy = aState.mLostState->mState;
    row.mCopyGranted = std::max(row.mCopyGranted, aState.mLostState->mGranted);
  }
  row.mReserved = std::max<std::int64_t>(row.mReserved - merged, 0);
  if (IsReserveKnown(aNow)) {
    row.mReserved = 0;
  }
  row.mGranted += merged + aAmount;
  const double elapsed = Seconds(std::max(now - row.mRateAt, milliseconds(0))) /
                         Seconds(kMaxStoreCopyAge);
  row.mRecent = static_cast<std::int64_t>(static_cast<double>(row.mRecent) *
                                          std::exp(-elapsed));
  row.mRecent += std::max<std::int64_t>(aAmount, 0);
  row.mRateAt = now;
  if (aAmount > 0) {
    RecordDrawer(row, mRun, now);
  }
  return row;
}

bool token_allowance::IsReserveKnown(time_point aNow) const
{
  return mEraBeganAt && mFleetWhole && aNow >= *mEraBeganAt + kSettleTime;
}

std::int64_t token_allowance::Drawable(const account_state& aState) const
{
  const bool stated = mEraBeganAt && mFleetWhole;
  return aState.mTotal - aState.mGranted - (stated ? 0 : aState.mRow.mReserved);
}

std::optional<time_point> token_allowance::SettlesAt(
  const account_state& aState,
  time_point aNow) const
{
  if (mEraBeganAt) {
    return *mEraBeganAt + kSettleTime;
  }
  // This run began in the era, so only the row tells when that was. A row of an
  // earlier era was not read by any other node yet.
  if (!aState.mRowKnown || aState.mVersion == 0) {
    return std::nullopt;
  }
  if (IsOfCopy(aState.mRow.mEra)) {
    return aNow + kSettleTime;
  }
  return aNow + (aState.mRow.mSettlesAt - StoreTimeAt(aNow));
}

bool token_allowance::IsSettling(const account_state& aState,
                                 time_point aNow) const
{
  const auto settles = SettlesAt(aState, aNow);
  return settles && aNow < *settles;
}

milliseconds token_allowance::StoreTimeAt(time_point aNow) const
{
  return mStoreTime
           ? *mStoreTime +
               std::chrono::duration_cast<milliseconds>(aNow - mStoreTimeAt)
           : milliseconds(0);
}
