#include "Gateway/ClaimRecovery.h"

#include <algorithm>
#include <utility>

#include "Common/Log.h"

namespace {

using std::chrono::milliseconds;

constexpr const char* kClaimTableName = "holdings";
constexpr const char* kClaimKey = "statement";
// Time between two reads of one host's claim.
constexpr milliseconds kHostInterval(2000);
// Delay after a replacement without a reply.
constexpr milliseconds kRetryDelay(300);

} // namespace

row_key ClaimRowKey(const std::string& aHost)
{
  return { kClaimTableName, aHost, kClaimKey };
}

claim_recovery::claim_recovery(token_allowance& aTokenAllowance,
                               row_store& aStore,
                               const time_source& aTime,
                               std::string aRun)
  : mTokenAllowance(aTokenAllowance)
  , mStore(aStore)
  , mTime(aTime)
  , mRun(std::move(aRun))
{
}

claim_recovery::~claim_recovery()
{
  *mAlive = false;
}

void claim_recovery::Recover(const std::string& aHost, time_point aNow)
{
  std::erase_if(mNextAt,
                [aNow](const auto& aPair) { return aNow >= aPair.second; });
  if (!mHost.empty() || mNextAt.contains(aHost)) {
    return;
  }
  mNextAt[aHost] = aNow + kHostInterval;
  mHost = aHost;
  ReadClaim();
}

void claim_recovery::OnTick(time_point aNow)
{
  if (!mHost.empty() && !mCallPending && aNow >= mRetryAt) {
    ReadClaim();
  }
}

void claim_recovery::ReadClaim()
{
  mCallPending = true;
  mStore.Read(
    kClaimTableName, mHost, kClaimKey, [this, alive = mAlive](auto aResult) {
      if (!*alive) {
        return;
      }
      mCallPending = false;
      if (!aResult.has_value()) {
        if (!mUnanswered) {
          Finish();
        }
        mRetryAt = mTime.Now() + kRetryDelay;
        return;
      }
      const auto& rows = aResult.value().mRows;
      const auto found = std::ranges::find_if(rows, [](const stored_row& aRow) {
        return aRow.mKey.mKey == kClaimKey && !aRow.mRemoved;
      });
      OnClaim(found == rows.end() ? std::nullopt : std::optional(*found));
    });
}

void claim_recovery::OnClaim(const std::optional<stored_row>& aRow)
{
  const auto claim = aRow ? ParseClaimRow(aRow->mValue) : std::nullopt;
  if (!claim) {
    Finish();
    return;
  }
  if (mUnanswered) {
    if (claim->mTaker == mRun && claim->mTakenFrom == mUnanswered->mVersion) {
      OnTaken(mUnanswered->mTokens);
      return;
    }
    if (aRow->mVersion != mUnanswered->mVersion) {
      // The replacement was not applied and no longer can be, or the owner has
      // replaced it and its tokens are lost.
      Finish();
      return;
    }
  }
  // The owner may have spent more under a claim that a restored store lost.
  const bool outdated = mTokenAllowance.IsOfCopy(claim->mEra);
  if (claim->mRun == mRun || outdated || TakeableTokens(*claim).empty()) {
    Finish();
    return;
  }
  Replace(*claim, aRow->mVersion);
}

void claim_recovery::Replace(const claim_row& aRow, std::uint64_t aVersion)
{
  const row_key key = ClaimRowKey(mHost);
  row_transaction transaction;
  transaction.mConditions.push_back({ key, aVersion });
  transaction.mWrites.push_back(
    { key, WriteClaimRow(WithoutTakeableTokens(aRow, mRun, aVersion)) });
  mCallPending = true;
  mStore.Commit(transaction,
                [this, alive = mAlive, aVersion, tokens = TakeableTokens(aRow)](
                  auto aResult) {
                  if (!*alive) {
                    return;
                  }
                  mCallPending = false;
                  if (aResult.has_value() && aResult.value().mCommitted) {
                    OnTaken(tokens);
                    return;
                  }
                  if (!aResult.has_value() &&
                      aResult.error() == row_store_error::Unknown) {
                    mUnanswered = unanswered_take{ aVersion, tokens };
                  }
                  if (!mUnanswered) {
                    Finish();
                  }
                  // A replacement that was not answered may have been applied;
                  // the next read tells.
                  mRetryAt = mTime.Now() + kRetryDelay;
                });
}

void claim_recovery::OnTaken(const claimed_tokens& aTokens)
{
  std::int64_t sum = 0;
  for (const auto& [account, tokens] : aTokens) {
    sum += tokens;
  }
  mTokenAllowance.OnTakenOver(aTokens, mTime.Now());
  mTakenOver += sum;
  Log(log_level::Info,
      "claim_taken_over",
      { Field("host", mHost),
        Field("accounts", aTokens.size()),
        Field("tokens", sum) });
  Finish();
}

void claim_recovery::Finish()
{
  mHost.clear();
  mUnanswered.reset();
}
