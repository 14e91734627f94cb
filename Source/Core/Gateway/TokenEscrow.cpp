#include "Gateway/TokenEscrow.h"

#include <algorithm>
#include <utility>

#include "Common/Hash.h"

namespace {

using std::chrono::milliseconds;

// With more nodes than this no tokens are drawn before the first usage.
constexpr std::size_t kMostFirstNodes = 16;
// Period over which the usage of an account is measured.
constexpr std::chrono::seconds kUsePeriod(4);
// Shortest part of a period that is used to compute a rate.
constexpr std::chrono::duration<double> kShortestUsePeriod(2.0);
// Delay after a conflict, doubled up to the limit; spread by node.
constexpr milliseconds kFirstBackoff(8);
constexpr unsigned kMostBackoffDoublings = 6;
// Delay after the store refused a write or did not answer.
constexpr milliseconds kRefusedPause(300);
// Smaller draws are not worth a transaction.
constexpr std::int64_t kSmallestDraw = 256;
// A draw that no request needs now must bring at least the target divided by
// this.
constexpr std::int64_t kSmallestPart = 8;
// Weight of the newest request in the moving average of the size.
constexpr double kNeedGain = 0.1;
// Requests of mean size that are held in addition to the observed usage.
constexpr std::int64_t kHeldRequests = 3;
// Requests of mean size that a claim's limit allows for in addition to the
// observed usage. Tokens below the limit are lost when the host loses power, at
// each node and for each account; a request above it waits a few ms for a new
// claim.
constexpr double kBoundRequests = 0.5;
// Tokens are drawn when less than three quarters of the target are left.
constexpr std::int64_t kRefillParts = 4;
constexpr std::int64_t kRefillBelow = 3;
// Largest difference between the clocks of the store and of a node.
constexpr milliseconds kClockMargin(200);

} // namespace

token_escrow::token_escrow(std::string aRun, const escrow_settings& aSettings)
  : mRun(std::move(aRun))
  , mSettings(aSettings)
{
}

void token_escrow::SetTotal(const account_id& aAccount, std::int64_t aTokens)
{
  mAccounts[aAccount].mTotal = aTokens;
}

reserve_verdict token_escrow::Reserve(const account_id& aAccount,
                                      std::int64_t aTokens,
                                      time_point aNow)
{
  account_state& state = mAccounts[aAccount];
  Roll(state, aNow);
  state.mMeanNeed +=
    kNeedGain * (static_cast<double>(aTokens) - state.mMeanNeed);
  if (Available(aAccount, state, aNow) >= aTokens) {
    state.mOut += aTokens;
    return reserve_verdict::Granted;
  }
  if (state.Free() >= aTokens) {
    // Only the claim's limit is too low; the next claim allows for the request.
    state.mBoundNeed = std::max(state.mBoundNeed, aTokens);
    mBoundShort = true;
    return reserve_verdict::Awaiting;
  }
  state.mShort = std::max(state.mShort, aTokens);
  const std::int64_t rest =
    std::max<std::int64_t>(state.mTotal - state.mGranted, 0);
  const bool spent =
    state.mRowKnown && rest + state.Free() + HeldElsewhere(aAccount) < aTokens;
  return spent ? reserve_verdict::Exhausted : reserve_verdict::Awaiting;
}

std::int64_t token_escrow::HeldElsewhere(const account_id& aAccount) const
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

void token_escrow::Settle(const account_id& aAccount,
                          std::int64_t aReserved,
                          std::int64_t aUsed,
                          time_point aNow)
{
  account_state& state = mAccounts[aAccount];
  Roll(state, aNow);
  state.mOut -= aReserved - std::min(aUsed, aReserved);
  state.mUsedNow += static_cast<double>(aUsed);
}

void token_escrow::OnMissed(const account_id& aAccount,
                            std::int64_t aTokens,
                            time_point aNow)
{
  account_state& state = mAccounts[aAccount];
  Roll(state, aNow);
  state.mUsedNow += static_cast<double>(aTokens);
}

bool token_escrow::Expired(time_point aNow) const
{
  return std::ranges::none_of(mStatements, [aNow](const statement& aEntry) {
    return aNow < aEntry.mExpires;
  });
}

std::int64_t token_escrow::Available(const account_id& aAccount,
                                     const account_state& aState,
                                     time_point aNow) const
{
  std::int64_t limit = aState.mReceived;
  for (const statement& entry : mStatements) {
    const auto found = entry.mAccounts.find(aAccount.mName);
    // Tokens that a claim does not name cannot be taken over.
    if (aNow < entry.mExpires && found != entry.mAccounts.end()) {
      const std::int64_t unnamed = aState.mReceived - found->second.mReceived;
      limit = std::min(limit, found->second.mBound + unnamed);
    }
  }
  return limit - aState.mOut;
}

std::int64_t token_escrow::NextBound(const account_state& aState,
                                     time_point aNow) const
{
  // Without a claim in force the store was unreachable. The next outage may be
  // near, so the limit is everything until the first reply.
  if (mReturning || !mEverStated || Expired(aNow)) {
    return aState.mReceived;
  }
  const double life =
    std::chrono::duration<double>(mSettings.mStatementLife).count() +
    std::chrono::duration<double>(mSettings.mStatementPeriod).count();
  const double ahead =
    UsedPerSecond(aState, aNow) * life + aState.mMeanNeed * kBoundRequests;
  const std::int64_t needed = std::max(aState.mShort, aState.mBoundNeed);
  return std::min(aState.mReceived,
                  aState.mOut + needed + static_cast<std::int64_t>(ahead));
}

void token_escrow::OnStoreTime(milliseconds aStoreTime, time_point aNow)
{
  mStoreTime = aStoreTime;
  mStoreTimeAt = aNow;
}

std::optional<holding_change> token_escrow::TakeStatement(time_point aNow)
{
  const bool due = aNow >= mNextStatement || mBoundShort;
  if (mStating || !due || mAccounts.empty()) {
    return std::nullopt;
  }
  std::erase_if(mStatements, [aNow](const statement& aEntry) {
    return aNow >= aEntry.mExpires;
  });
  holding_change change;
  change.mExpectedVersion = mStatementVersion;
  change.mRow.mRun = mRun;
  change.mRow.mSequence = ++mSequence;
  if (mStoreTime) {
    // The reply that carried the time was under way for a while, so this is not
    // later than the store's clock.
    change.mRow.mStatedAt =
      *mStoreTime +
      std::chrono::duration_cast<milliseconds>(aNow - mStoreTimeAt);
  }
  for (auto& [account, state] : mAccounts) {
    if (state.mReceived > 0) {
      change.mRow.mAccounts[account.mName] = { state.mReceived,
                                               NextBound(state, aNow) };
    }
    state.mBoundNeed = 0;
  }
  // The limit applies from here on, because the write may be applied without a
  // reply.
  mStatements.push_back({ change.mRow.mSequence,
                          change.mRow.mAccounts,
                          aNow + mSettings.mStatementLife });
  mStating = true;
  mBoundShort = false;
  mNextStatement = aNow + mSettings.mStatementPeriod;
  return change;
}

void token_escrow::OnStated(std::uint64_t aVersion, time_point aNow)
{
  mLastStated = aNow;
  mStating = false;
  mStatementVersion = aVersion;
  ConfirmStated();
  // Older claims, and unanswered ones that expected the same version, can no
  // longer be in the store.
  while (mStatements.size() > 1) {
    mStatements.pop_front();
  }
}

void token_escrow::ConfirmStated()
{
  mEverStated = true;
  for (const auto& [account, tokens] : mTakenOver) {
    mAccounts[account].mReceived += tokens;
  }
  mTakenOver.clear();
}

std::int64_t token_escrow::OnStatementConflict(
  const std::optional<holding_row>& aCurrent,
  std::uint64_t aVersion,
  milliseconds aStoreTime)
{
  mStating = false;
  mNextStatement = {};
  mStatementVersion = aVersion;
  if (aCurrent && aCurrent->mRun == mRun) {
    // The reply to an earlier write was lost; only that claim is in the store.
    std::erase_if(mStatements, [&](const statement& aEntry) {
      return aEntry.mSequence != aCurrent->mSequence;
    });
    ConfirmStated();
    return 0;
  }
  mStatements.clear();
  if (!aCurrent || aStoreTime + kClockMargin >=
                     aCurrent->mStatedAt + mSettings.mStatementLife) {
    return 0;
  }
  mTakenOver.clear();
  std::int64_t taken = 0;
  for (const auto& [account, entry] : aCurrent->mAccounts) {
    const std::int64_t tokens = entry.mReceived - entry.mBound;
    if (tokens > 0 && !mEverStated) {
      mTakenOver[account_id{ account }] = tokens;
      taken += tokens;
    }
  }
  return taken;
}

void token_escrow::OnStatementFailed(bool aUnknown)
{
  mStating = false;
  if (!aUnknown && !mStatements.empty()) {
    mStatements.pop_back();
  }
}

void token_escrow::Roll(account_state& aState, time_point aNow) const
{
  if (aNow < aState.mPeriodEnds) {
    return;
  }
  const bool adjacent = aNow < aState.mPeriodEnds + kUsePeriod;
  aState.mUsedBefore = adjacent ? aState.mUsedNow : 0.0;
  aState.mUsedNow = 0.0;
  aState.mPeriodEnds = aNow + kUsePeriod;
}

double token_escrow::UsedPerSecond(const account_state& aState,
                                   time_point aNow) const
{
  const std::chrono::duration<double> period = kUsePeriod;
  const std::chrono::duration<double> left = aState.mPeriodEnds - aNow;
  const double elapsed =
    std::clamp(period - left, kShortestUsePeriod, period).count();
  return std::max(aState.mUsedBefore / period.count(),
                  aState.mUsedNow / elapsed);
}

std::int64_t token_escrow::Target(const account_state& aState,
                                  time_point aNow) const
{
  const double use = UsedPerSecond(aState, aNow) * mSettings.mHorizonSeconds;
  const double first = static_cast<double>(aState.mTotal) *
                       mSettings.mFirstShare / static_cast<double>(mNodes);
  // In a large fleet the initial share of a node would be smaller than a
  // request.
  const bool spread = mNodes <= kMostFirstNodes;
  const double start = aState.mUsedBefore > 0.0 || !spread ? 0.0 : first;
  return static_cast<std::int64_t>(std::max(use, start)) +
         static_cast<std::int64_t>(aState.mMeanNeed) * kHeldRequests;
}

std::int64_t token_escrow::Sharers(const account_id& aAccount) const
{
  const auto found = mHolders.find(AccountKey(aAccount));
  const std::size_t others = found == mHolders.end() ? 0 : found->second.size();
  return static_cast<std::int64_t>(std::min(others + 1, mNodes));
}

std::int64_t token_escrow::DrawAmount(const account_id& aAccount,
                                      const account_state& aState,
                                      time_point aNow) const
{
  const std::int64_t rest = aState.mTotal - aState.mGranted;
  const std::int64_t target = Target(aState, aNow);
  const bool needed = aState.mShort > aState.Free();
  if (rest <= 0 ||
      (!needed && aState.Free() * kRefillParts >= target * kRefillBelow)) {
    return 0;
  }
  // Other nodes need tokens as well, so one draw leaves most of the remaining
  // tokens.
  const std::int64_t fair = rest / (Sharers(aAccount) + 1);
  std::int64_t amount = std::min(target - aState.Free(), fair);
  if (needed) {
    amount = std::max(amount, aState.mShort - aState.Free());
  }
  amount = std::min(amount, rest);
  const bool small =
    amount < std::max(kSmallestDraw, target / kSmallestPart) && !needed;
  return small ? 0 : std::max<std::int64_t>(amount, 0);
}

std::int64_t token_escrow::ReturnAmount(const account_id& aAccount,
                                        const account_state& aState,
                                        time_point aNow) const
{
  const std::int64_t available = Available(aAccount, aState, aNow);
  if (mReturning) {
    return std::max<std::int64_t>(available, 0);
  }
  const auto kept = static_cast<std::int64_t>(
    static_cast<double>(Target(aState, aNow)) * mSettings.mReturnFactor);
  const std::int64_t spare = std::min(aState.Free() - kept, available);
  // Small amounts are not returned; they are likely to be used.
  return spare > kept / 2 ? spare : 0;
}

std::vector<escrow_change> token_escrow::TakeChanges(time_point aNow)
{
  std::vector<escrow_change> changes;
  for (auto& [account, state] : mAccounts) {
    if (state.mPending || aNow < state.mNotBefore) {
      continue;
    }
    Roll(state, aNow);
    std::int64_t amount = mReturning ? 0 : DrawAmount(account, state, aNow);
    if (amount == 0 && state.mRowKnown) {
      const std::int64_t returned = ReturnAmount(account, state, aNow);
      // Tokens that are being returned can no longer be spent here.
      state.mOut += returned;
      amount = -returned;
    }
    // The row of an account is first read when a write to it conflicts.
    if (amount == 0) {
      continue;
    }
    const pending_change pending{ ++mSequence, amount };
    state.mPending = pending;
    changes.push_back({ account,
                        state.mVersion,
                        { state.mGranted + amount, mRun, pending.mSequence } });
  }
  return changes;
}

bool token_escrow::Busy() const
{
  return std::ranges::any_of(mAccounts, [this](const auto& aPair) {
    return aPair.second.mPending.has_value() ||
           (mReturning && aPair.second.Free() > 0);
  });
}

void token_escrow::OnCommit(const account_id& aAccount,
                            std::uint64_t aVersion,
                            time_point aNow)
{
  account_state& state = mAccounts[aAccount];
  if (!state.mPending) {
    return;
  }
  state.mVersion = aVersion;
  state.mGranted += state.mPending->mAmount;
  state.mRowKnown = true;
  state.mConflicts = 0;
  if (state.mPending->mAmount > 0) {
    state.mReceived += state.mPending->mAmount;
    state.mShort = 0;
  }
  state.mPending.reset();
  // A committed write of another sequence proves that the unanswered one, with
  // the same condition, can no longer be applied.
  state.mUnsettled.reset();
  state.mNotBefore = aNow;
}

void token_escrow::OnConflict(const account_id& aAccount,
                              const std::optional<escrow_row>& aCurrent,
                              std::uint64_t aVersion,
                              time_point aNow)
{
  account_state& state = mAccounts[aAccount];
  if (!state.mPending) {
    return;
  }
  const pending_change pending = *state.mPending;
  state.mPending.reset();
  if (pending.mAmount < 0) {
    state.mOut += pending.mAmount;
  }
  state.mVersion = aVersion;
  state.mGranted = aCurrent ? aCurrent->mGranted : 0;
  state.mRowKnown = true;
  if (state.mUnsettled && aCurrent && aCurrent->mWriter == mRun &&
      aCurrent->mSequence == state.mUnsettled->mSequence) {
    // The unanswered change was applied after all. If it was a return, nothing
    // is left to do, because its tokens were deducted when it was sent.
    state.mReceived += std::max<std::int64_t>(state.mUnsettled->mAmount, 0);
    state.mConflicts = 0;
  }
  state.mUnsettled.reset();
  ++state.mConflicts;
  state.mNotBefore = aNow + Backoff(aAccount, state);
}

std::chrono::milliseconds token_escrow::Backoff(
  const account_id& aAccount,
  const account_state& aState) const
{
  const unsigned doublings = std::min(aState.mConflicts, kMostBackoffDoublings);
  const auto most = kFirstBackoff * (1U << doublings);
  const auto spread =
    StableHash(mRun + aAccount.mName, mSequence) % most.count();
  return milliseconds(static_cast<std::int64_t>(spread));
}

void token_escrow::OnRefused(const account_id& aAccount, time_point aNow)
{
  account_state& state = mAccounts[aAccount];
  if (state.mPending && state.mPending->mAmount < 0) {
    state.mOut += state.mPending->mAmount;
  }
  state.mPending.reset();
  state.mNotBefore = aNow + kRefusedPause;
}

void token_escrow::OnUnknown(const account_id& aAccount, time_point aNow)
{
  account_state& state = mAccounts[aAccount];
  if (!state.mPending) {
    return;
  }
  // After a second unanswered change the tokens of the first one are given up,
  // because only the newest can be recognized in the row.
  state.mUnsettled = std::exchange(state.mPending, std::nullopt);
  state.mNotBefore = aNow + kRefusedPause;
}

std::int64_t token_escrow::Held(const account_id& aAccount) const
{
  const auto found = mAccounts.find(aAccount);
  return found == mAccounts.end() ? 0 : found->second.Free();
}

std::int64_t token_escrow::KnownRest(const account_id& aAccount) const
{
  const auto found = mAccounts.find(aAccount);
  return found == mAccounts.end()
           ? 0
           : found->second.mTotal - found->second.mGranted;
}
