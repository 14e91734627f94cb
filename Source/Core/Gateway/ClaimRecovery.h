#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Common/Time.h"
#include "Gateway/ClaimRow.h"
#include "Gateway/TokenAllowance.h"
#include "Remote/RowStore.h"

/// Key of the claim row of a host.
row_key ClaimRowKey(const std::string& aHost);

/// Takes over tokens from the claims of other hosts: reads a host's claim and
/// replaces it under its version. One host is handled at a time.
class claim_recovery
{
public:
  /// `aRun` identifies this run; it marks the rows that it replaces.
  claim_recovery(token_allowance& aTokenAllowance,
                 row_store& aStore,
                 const time_source& aTime,
                 std::string aRun);
  ~claim_recovery();
  claim_recovery(const claim_recovery&) = delete;
  claim_recovery& operator=(const claim_recovery&) = delete;

  /// Begins to take over from a host, unless another one is being handled or
  /// the host was handled within the last 2 s.
  void Recover(const std::string& aHost, time_point aNow);
  /// Repeats what was not answered. Called in each round.
  void OnTick(time_point aNow);
  /// Tokens taken over since the start.
  std::int64_t TakenOver() const { return mTakenOver; }

private:
  /// A replacement that may be applied now, later or never.
  struct unanswered_take
  {
    std::uint64_t mVersion = 0;
    claimed_tokens mTokens;
  };

  void ReadClaim();
  void OnClaim(const std::optional<stored_row>& aRow);
  void Replace(const claim_row& aRow, std::uint64_t aVersion);
  void OnTaken(const claimed_tokens& aTokens);
  void Finish();

  token_allowance& mTokenAllowance;
  row_store& mStore;
  const time_source& mTime;
  std::string mRun;
  /// Host that is being handled; empty if none is.
  std::string mHost;
  bool mCallPending = false;
  std::optional<unanswered_take> mUnanswered;
  time_point mRetryAt;
  std::int64_t mTakenOver = 0;
  /// When hosts may be handled again.
  std::map<std::string, time_point> mNextAt;
  /// Set to false by the destructor; replies that arrive later are ignored.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};
