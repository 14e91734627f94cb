#pragma once

#include <memory>
#include <string>
#include <vector>

#include "Common/Time.h"
#include "Gateway/ClaimRecovery.h"
#include "Gateway/TokenAllowance.h"
#include "Remote/RowStore.h"

/// Writes the grant changes and claims of `token_allowance` to the store and
/// passes the replies back.
class allowance_writer
{
public:
  /// `aHost` is the key of this host's claim row, by which the next run of the
  /// process finds it.
  allowance_writer(token_allowance& aTokenAllowance,
                   row_store& aStore,
                   const time_source& aTime,
                   std::string aHost);
  ~allowance_writer();
  allowance_writer(const allowance_writer&) = delete;
  allowance_writer& operator=(const allowance_writer&) = delete;

  /// Writes the draws and returns of tokens that are due, and reads the rows of
  /// accounts that lack tokens.
  void WriteChanges(time_point aNow);
  /// Writes the claim of this node, if one is due.
  void WriteClaim(time_point aNow);
  /// Takes over tokens from the claims of these hosts, which are lost, and of
  /// hosts that hold tokens and do not give what is needed.
  void RecoverClaims(const std::vector<std::string>& aLostHosts,
                     time_point aNow);
  /// What became of the tokens of the earlier run on this host.
  const claim_takeover& EarlierRun() const { return mEarlierRun; }

private:
  /// Reads the rows of accounts that other nodes may have changed.
  void ReadGrants(time_point aNow);

  token_allowance& mTokenAllowance;
  row_store& mStore;
  const time_source& mTime;
  std::string mHost;
  claim_recovery mRecovery;
  claim_takeover mEarlierRun;
  /// Set to false by the destructor; replies that arrive later are ignored.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};
