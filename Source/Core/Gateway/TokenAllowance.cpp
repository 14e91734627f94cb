#include "Gateway/TokenAllowance.h"

#include <algorithm>
#include <utility>

#include "Common/Hash.h"

namespace {

using std::chrono::milliseconds;

// Delay after a conflict, doubled up to the limit; spread by node.
constexpr milliseconds kInitialBackoff(8);
constexpr unsigned kMaxBackoffDoublings = 6;
// Conflicts in a row after which a draw for a waiting request is still repeated
// without delay. The reply names the version that the next write expects, and
// each write of another node in between makes it fail as well.
constexpr unsigned kImmediateRepeats = 6;
constexpr unsigned kMaxWaitingDoublings = 2;
// Delay after the store refused a write or did not answer.
constexpr milliseconds kStoreRetryDelay(300);
// Weight of the newest request in the moving average of the size.
constexpr double kRequestSizeGain = 0.1;
// Weight of the newest request in the moving average of the used share.
constexpr double kUsedShareGain = 0.1;
// Time for which tokens are fetched for a request that could not be covered;
// its client may come again.
constexpr milliseconds kNeedTimeout(1000);
// Age up to which a copy of an account's row tells that no tokens are left.
constexpr milliseconds kRowFreshTime(500);
// Time between reads of the row while a request lacks tokens, and while tokens
// are held without need.
constexpr milliseconds kNeededReadInterval(200);
constexpr milliseconds kIdleReadInterval(5000);
// Shortest time between receiving and returning tokens; it bounds the writes
// for an account.
constexpr milliseconds kReturnInterval(300);
// Each node reports in this interval to at most this many others.
constexpr milliseconds kReportInterval(200);
constexpr std::size_t kReportTargets = 16;
// Time after the start after which the other nodes have reported, in the
// largest fleets most of them.
constexpr milliseconds kFleetKnownTime(2000);

} // namespace

token_allowance::token_allowance(std::string aRun,
                                 const allowance_settings& aSettings)
  : mRun(std::move(aRun))
  , mSettings(aSettings)
{
}

void token_allowance::SetTotal(const account_id& aAccount, std::int64_t aTokens)
{
  mAccounts[aAccount].mTotal = aTokens;
}

reserve_verdict token_allowance::Reserve(const account_id& aAccount,
                                         std::int64_t aTokens,
                                         time_point aNow)
{
  account_state& state = mAccounts[aAccount];
  RotateUsagePeriod(state, aNow);
  if (IsLargeFleet() && state.mMeanRequestTokens == 0.0) {
    state.mMeanRequestTokens = static_cast<double>(aTokens);
  }
  state.mMeanRequestTokens += kRequestSizeGain * (static_cast<double>(aTokens) -
                                                  state.mMeanRequestTokens);
  state.mLastRequestAt = aNow;
  if (Available(aAccount, state, aNow) >= aTokens) {
    state.mSpent += aTokens;
    state.mReserved += aTokens;
    CountDemand(state, static_cast<double>(aTokens) * state.mUsedShare, aNow);
    return reserve_verdict::Granted;
  }
  if (state.Free() >= aTokens) {
    // Only the claim's limit is too low; the next claim allows for the request.
    state.mSpendLimitNeed = std::max(state.mSpendLimitNeed, aTokens);
    mSpendLimitTooLow = true;
    if (IsStoreLost(aNow)) {
      // Only tokens of other nodes can be spent beyond the limit.
      state.mUnmetNeed = std::max(state.mUnmetNeed, aTokens);
      state.mNeedExpiresAt = aNow + kNeedTimeout;
    }
    return reserve_verdict::Awaiting;
  }
  state.mUnmetNeed = std::max(state.mUnmetNeed, aTokens);
  state.mNeedExpiresAt = aNow + kNeedTimeout;
  // Other nodes may have returned tokens since the row was read.
  const bool rowFresh =
    state.mRowKnown && aNow < state.mRowReadAt + kRowFreshTime;
  // What was granted or transferred a moment ago is not in the reports yet.
  const bool reported =
    KnowsFleet(aNow) && aNow >= state.mMovedAt + ReportTime();
  const bool exhausted =
    aTokens > state.mTotal ||
    (rowFresh && reported && UnspentTokens(aAccount, state) < aTokens);
  return exhausted ? reserve_verdict::Exhausted : reserve_verdict::Awaiting;
}

bool token_allowance::KnowsFleet(time_point aNow) const
{
  return !mStartedAt || aNow >= *mStartedAt + kFleetKnownTime;
}

milliseconds token_allowance::ReportTime() const
{
  return kReportInterval * (mNodes / kReportTargets + 2);
}

std::vector<account_id> token_allowance::TakeGrantReads(time_point aNow)
{
  std::vector<account_id> reads;
  for (auto& [account, state] : mAccounts) {
    if (!state.mRowKnown && HasUnmergedState(state) &&
        aNow >= state.mNextReadAt) {
      state.mNextReadAt = aNow + kNeededReadInterval;
      reads.push_back(account);
    }
    if (!state.mRowKnown || state.mPending || aNow < state.mNextReadAt) {
      continue;
    }
    const bool lacking =
      state.mUnmetNeed > state.Free() &&
      state.mTotal - state.mGranted < state.mUnmetNeed - state.Free();
    const bool old =
      state.Free() > 0 && aNow >= state.mRowReadAt + kIdleReadInterval;
    if (lacking || old) {
      state.mNextReadAt = aNow + kNeededReadInterval;
      reads.push_back(account);
    }
  }
  return reads;
}

void token_allowance::OnGrantRead(const account_id& aAccount,
                                  const std::optional<grant_row>& aCurrent,
                                  std::uint64_t aVersion,
                                  time_point aNow)
{
  account_state& state = mAccounts[aAccount];
  if (state.mPending || (state.mRowKnown && aVersion < state.mVersion)) {
    return;
  }
  state.mRowReadAt = aNow;
  if (!state.mRowKnown || aVersion > state.mVersion) {
    LearnRow(state, aCurrent, aVersion, aNow);
  }
}

bool token_allowance::LearnRow(account_state& aState,
                               const std::optional<grant_row>& aCurrent,
                               std::uint64_t aVersion,
                               time_point aNow)
{
  aState.mVersion = aVersion;
  const std::int64_t granted = aCurrent ? aCurrent->mGranted : 0;
  if (granted > aState.mGranted) {
    aState.mMovedAt = aNow;
  }
  aState.mGranted = granted;
  aState.mRow = aCurrent.value_or(grant_row{});
  aState.mRowKnown = true;
  const auto unanswered = std::exchange(aState.mUnanswered, std::nullopt);
  if (!unanswered || !aCurrent ||
      !aCurrent->Contains({ mRun, unanswered->mSequence })) {
    DropMergedState(aState);
    return false;
  }
  CountWritten(aState, *unanswered);
  // The unanswered change was applied after all. If it was a return, nothing is
  // left to do, because its tokens were deducted when it was sent.
  aState.mReceived += std::max<std::int64_t>(unanswered->mAmount, 0);
  RecordGrant(aState, unanswered->mAmount, false, aNow);
  return true;
}

void token_allowance::CountWritten(account_state& aState,
                                   const pending_change& aChange) const
{
  if (aChange.mRow.mEra == mEra) {
    aState.mReissued = 0;
  } else {
    // Written without knowledge of the era, so that others may take its tokens
    // for a part of what they add.
    aState.mReissued += std::max<std::int64_t>(aChange.mAmount, 0);
  }
  DropMergedState(aState);
}

std::int64_t token_allowance::FreeTokensOnPeers(
  const account_id& aAccount) const
{
  const auto found = mHolders.find(AccountKey(aAccount));
  std::int64_t sum = 0;
  if (found != mHolders.end()) {
    for (const token_holder& holder : found->second) {
      sum += holder.mTokens;
    }
  }
  return sum;
}

void token_allowance::FinishReservation(const account_id& aAccount,
                                        std::int64_t aReserved,
                                        std::int64_t aUsed,
                                        time_point aNow)
{
  account_state& state = mAccounts[aAccount];
  RotateUsagePeriod(state, aNow);
  state.mSpent -= aReserved - std::min(aUsed, aReserved);
  state.mReserved -= aReserved;
  state.mUsedInPeriod += static_cast<double>(aUsed);
  if (aReserved > 0) {
    const double share =
      static_cast<double>(aUsed) / static_cast<double>(aReserved);
    state.mUsedShare += kUsedShareGain * (share - state.mUsedShare);
  }
}

void token_allowance::OnUnmetDemand(const account_id& aAccount,
                                    std::int64_t aTokens,
                                    time_point aNow)
{
  account_state& state = mAccounts[aAccount];
  RotateUsagePeriod(state, aNow);
  state.mUsedInPeriod += static_cast<double>(aTokens);
  CountDemand(state, static_cast<double>(aTokens) * state.mUsedShare, aNow);
  state.mLastRequestAt = aNow;
}

std::vector<grant_change> token_allowance::TakeGrantChanges(time_point aNow)
{
  std::vector<grant_change> changes;
  for (auto& [account, state] : mAccounts) {
    if (state.mPending || aNow < state.mNextChangeAt) {
      continue;
    }
    RotateUsagePeriod(state, aNow);
    if (aNow >= state.mNeedExpiresAt) {
      state.mUnmetNeed = 0;
    }
    if (state.mUnanswered && state.mUnanswered->mRow.mEra == mEra &&
        !mReturning) {
      // It is applied once at most, since it expects the same version. If it
      // was, the row in the reply names it.
      state.mPending = std::exchange(state.mUnanswered, std::nullopt);
      state.mPending->mIsRepeated = true;
      state.mPending->mReplyDueAt = aNow + kStoreReplyTimeout;
      changes.push_back({ account, state.mVersion, state.mPending->mRow });
      continue;
    }
    const bool merges = HasUnmergedState(state);
    if (merges && !state.mRowKnown) {
      // The row is read first.
      continue;
    }
    std::int64_t amount =
      mReturning || merges ? 0 : DrawAmount(account, state, aNow);
    // A run that began in this era announces to the others that it will draw.
    const bool opens = amount > 0 && !mEraBeganAt && state.mRowKnown &&
                       state.mVersion > 0 && IsOfCopy(state.mRow.mEra);
    if (opens || (amount > 0 && IsSettling(state, aNow))) {
      amount = 0;
    }
    if (amount == 0 && state.mRowKnown && !merges && !opens) {
      const std::int64_t returned = ReturnAmount(account, state, aNow);
      // Tokens that are being returned can no longer be spent here.
      state.mSpent += returned;
      amount = -returned;
    }
    // The row of an account is first read when a write to it conflicts.
    if (amount == 0 && !merges && !opens) {
      continue;
    }
    const std::uint64_t sequence = ++mSequence;
    const pending_change pending{ sequence,
                                  amount,
                                  NextRow(state, amount, sequence, aNow),
                                  aNow + kStoreReplyTimeout };
    state.mPending = pending;
    changes.push_back({ account, state.mVersion, pending.mRow });
  }
  return changes;
}

bool token_allowance::HasPendingChanges() const
{
  return std::ranges::any_of(mAccounts, [this](const auto& aPair) {
    return aPair.second.mPending.has_value() ||
           (mReturning && aPair.second.Free() > 0);
  });
}

void token_allowance::OnCommit(const account_id& aAccount,
                               std::uint64_t aVersion,
                               time_point aNow)
{
  account_state& state = mAccounts[aAccount];
  if (!state.mPending) {
    return;
  }
  state.mVersion = aVersion;
  state.mGranted = state.mPending->mRow.mGranted;
  state.mRow = state.mPending->mRow;
  state.mRowKnown = true;
  CountWritten(state, *state.mPending);
  state.mRowReadAt = aNow;
  state.mNextReturnAt = std::max(state.mNextReturnAt, aNow + kReturnInterval);
  state.mConflicts = 0;
  if (state.mPending->mAmount > 0) {
    state.mReceived += state.mPending->mAmount;
    state.mUnmetNeed = 0;
  }
  RecordGrant(state, state.mPending->mAmount, false, aNow);
  state.mPending.reset();
  // An unanswered change of another sequence, with the same condition, can no
  // longer be applied.
  state.mUnanswered.reset();
  state.mNextChangeAt = aNow;
}

void token_allowance::OnConflict(const account_id& aAccount,
                                 const std::optional<grant_row>& aCurrent,
                                 std::uint64_t aVersion,
                                 time_point aNow)
{
  account_state& state = mAccounts[aAccount];
  if (!state.mPending) {
    return;
  }
  const pending_change pending = *state.mPending;
  state.mPending.reset();
  if (pending.mIsRepeated) {
    state.mUnanswered = pending;
  } else if (pending.mAmount < 0) {
    state.mSpent += pending.mAmount;
  }
  state.mRowReadAt = aNow;
  if (LearnRow(state, aCurrent, aVersion, aNow)) {
    state.mConflicts = 0;
  }
  ++state.mConflicts;
  state.mNextChangeAt = aNow + Backoff(aAccount, state);
}

std::chrono::milliseconds token_allowance::Backoff(
  const account_id& aAccount,
  const account_state& aState) const
{
  const bool waiting = aState.mUnmetNeed > aState.Free();
  if (waiting && aState.mConflicts <= kImmediateRepeats) {
    return milliseconds(0);
  }
  const unsigned doublings = std::min(
    aState.mConflicts, waiting ? kMaxWaitingDoublings : kMaxBackoffDoublings);
  const auto longest = kInitialBackoff * (1U << doublings);
  const auto spread =
    StableHash(mRun + aAccount.mName, mSequence) % longest.count();
  return milliseconds(static_cast<std::int64_t>(spread));
}

void token_allowance::OnRefused(const account_id& aAccount, time_point aNow)
{
  account_state& state = mAccounts[aAccount];
  if (state.mPending && state.mPending->mIsRepeated) {
    // The first write of it may still be applied.
    state.mUnanswered = state.mPending;
  } else if (state.mPending && state.mPending->mAmount < 0) {
    state.mSpent += state.mPending->mAmount;
  }
  state.mPending.reset();
  state.mNextChangeAt = aNow + kStoreRetryDelay;
}

void token_allowance::OnUnknown(const account_id& aAccount, time_point aNow)
{
  account_state& state = mAccounts[aAccount];
  if (!state.mPending) {
    return;
  }
  state.mUnanswered = std::exchange(state.mPending, std::nullopt);
  state.mNextChangeAt = aNow + kStoreRetryDelay;
}

std::int64_t token_allowance::FreeTokens(const account_id& aAccount) const
{
  const auto found = mAccounts.find(aAccount);
  return found == mAccounts.end() ? 0 : found->second.Free();
}

std::int64_t token_allowance::UngrantedTokens(const account_id& aAccount) const
{
  const auto found = mAccounts.find(aAccount);
  return found == mAccounts.end() ? 0 : Drawable(found->second);
}
