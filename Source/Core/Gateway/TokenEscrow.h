#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/Identity.h"
#include "Common/Time.h"
#include "Gateway/EscrowRow.h"
#include "Gateway/HoldingRow.h"

/// Shares the prepaid tokens of accounts between nodes.
///
/// The store holds, per account, the tokens granted to all nodes so far. A node
/// spends only what it was granted, so no outage, pause or lost reply can
/// overspend.
///
/// Each node also states in a row of its own how much it received and a bound
/// on what it passes out. Until the statement expires the node keeps to the
/// bound; the next run on the same host takes over what lies beyond it. A node
/// that cannot reach the store may spend everything it holds once its
/// statements have expired, and then nothing can be taken over.

enum class reserve_verdict : std::uint8_t
{
  Granted,
  /// Tokens are being fetched; ask again after the next change.
  Awaiting,
  /// All tokens are granted, and no node that is known to hold some has
  /// enough.
  Exhausted,
};

/// A conditional write that the escrow asks for; answered by one of `OnCommit`,
/// `OnConflict`, `OnRefused` and `OnUnknown`.
struct escrow_change
{
  account_id mAccount;
  std::uint64_t mExpectedVersion = 0;
  escrow_row mRow;
  auto operator<=>(const escrow_change&) const = default;
};

/// A conditional write of this node's statement; answered by one of
/// `OnStated`, `OnStatementConflict` and `OnStatementFailed`.
struct holding_change
{
  std::uint64_t mExpectedVersion = 0;
  holding_row mRow;
  auto operator<=>(const holding_change&) const = default;
};

/// A node that holds free tokens of an account.
struct token_holder
{
  /// Datagram address.
  std::string mAddress;
  std::int64_t mTokens = 0;
  auto operator<=>(const token_holder&) const = default;
};

/// Short key of an account in messages between nodes.
std::uint32_t AccountKey(const account_id& aAccount);

/// Holders of each account, by `AccountKey`, the one with most tokens first.
using token_holders =
  std::unordered_map<std::uint32_t, std::vector<token_holder>>;

/// Asks another node for tokens that it was granted and does not need. Works
/// while the store is out of reach, and when all tokens are granted.
struct token_request
{
  /// Datagram address for the answer.
  std::string mAddress;
  /// Unique to the asking run; a repeated request gets the same answer.
  std::uint64_t mId = 0;
  std::uint64_t mRun = 0;
  account_id mAccount;
  /// Least amount of use.
  std::int64_t mNeeded = 0;
  std::int64_t mWanted = 0;
  auto operator<=>(const token_request&) const = default;
};

/// Tokens that now belong to the run that asked. They left the giver when this
/// was made, so a lost transfer loses them.
struct token_transfer
{
  std::uint64_t mId = 0;
  std::uint64_t mRun = 0;
  account_id mAccount;
  std::int64_t mTokens = 0;
  auto operator<=>(const token_transfer&) const = default;
};

/// A request and the node that it goes to.
struct addressed_request
{
  std::string mTo;
  token_request mRequest;
};

struct escrow_settings
{
  /// Span of the observed use that a node holds in advance, in seconds. Covers
  /// a cut of 9 s from the store, as the deployments have.
  double mHorizonSeconds = 10.0;
  /// Part of an account's tokens that all nodes draw at their start together;
  /// covers a cut before the use is known.
  double mFirstShare = 0.15;
  /// Tokens held beyond this multiple of the need are returned.
  double mReturnFactor = 2.0;
  /// Time for which a statement binds the node. Longer than the restart of a
  /// process takes, so that its tokens can be taken over.
  std::chrono::milliseconds mStatementLife{ 3300 };
  /// Period of statements.
  std::chrono::milliseconds mStatementPeriod{ 300 };
};

class token_escrow
{
public:
  /// `aRun` is unique to this run of the process.
  token_escrow(std::string aRun, const escrow_settings& aSettings);

  /// Total of an account, as the newest configuration says.
  void SetTotal(const account_id& aAccount, std::int64_t aTokens);
  /// Number of nodes that share the accounts.
  void SetNodes(std::size_t aNodes) { mNodes = aNodes == 0 ? 1 : aNodes; }

  reserve_verdict Reserve(const account_id& aAccount,
                          std::int64_t aTokens,
                          time_point aNow);
  /// Ends a reservation of which `aUsed` tokens were consumed.
  void Settle(const account_id& aAccount,
              std::int64_t aReserved,
              std::int64_t aUsed,
              time_point aNow);

  /// A request was refused for lack of tokens. Its size counts as use, so that
  /// a node whose store is slow still asks for what its callers need.
  void OnMissed(const account_id& aAccount,
                std::int64_t aTokens,
                time_point aNow);

  /// Changes to write now; at most one per account at a time.
  std::vector<escrow_change> TakeChanges(time_point aNow);
  /// Returns everything that is not reserved; used at the end of the process.
  void ReturnAll() { mReturning = true; }
  /// Whether a change awaits its answer or is due.
  bool Busy() const;

  void OnCommit(const account_id& aAccount,
                std::uint64_t aVersion,
                time_point aNow);
  /// The row had another version; nothing when it does not exist.
  void OnConflict(const account_id& aAccount,
                  const std::optional<escrow_row>& aCurrent,
                  std::uint64_t aVersion,
                  time_point aNow);
  void OnRefused(const account_id& aAccount, time_point aNow);
  /// No reply: the change may be applied now, later or never.
  void OnUnknown(const account_id& aAccount, time_point aNow);

  /// The store's clock, from any answer.
  void OnStoreTime(std::chrono::milliseconds aStoreTime, time_point aNow);
  /// Statement to write now, if one is due.
  std::optional<holding_change> TakeStatement(time_point aNow);
  void OnStated(std::uint64_t aVersion, time_point aNow);
  /// The row had another version: that of an earlier run of this host, whose
  /// tokens are taken over if its statement still holds, or of a write of this
  /// run whose answer was lost. Returns the tokens taken over.
  std::int64_t OnStatementConflict(const std::optional<holding_row>& aCurrent,
                                   std::uint64_t aVersion,
                                   std::chrono::milliseconds aStoreTime);
  /// `aUnknown` when the write may still be applied.
  void OnStatementFailed(bool aUnknown);

  /// Nodes with free tokens, from their newest reports.
  void SetHolders(token_holders aHolders) { mHolders = std::move(aHolders); }
  /// Requests to send now for accounts that are short; unanswered ones are
  /// repeated.
  std::vector<addressed_request> TakeRequests(std::uint64_t aRun,
                                              time_point aNow);
  /// Answers another node; nothing when it has none to give.
  std::optional<token_transfer> Give(const token_request& aRequest,
                                     time_point aNow);
  /// Whether the request was answered with tokens before.
  bool Answered(const token_request& aRequest) const;
  void OnTransfer(const token_transfer& aTransfer, std::uint64_t aRun);
  /// Free tokens by `AccountKey`, for the reports.
  std::vector<std::pair<std::uint32_t, std::int64_t>> AllHeld(
    time_point aNow) const;

  std::int64_t Held(const account_id& aAccount) const;
  std::int64_t KnownRest(const account_id& aAccount) const;

private:
  struct pending_change
  {
    std::uint64_t mSequence = 0;
    std::int64_t mAmount = 0;
  };
  struct account_state
  {
    std::int64_t Free() const { return mReceived - mOut; }

    std::int64_t mTotal = 0;
    /// Tokens granted, transferred or taken over to this run.
    std::int64_t mReceived = 0;
    /// Tokens reserved, used, given or returned by this run.
    std::int64_t mOut = 0;
    /// Largest need that could not be met; cleared by a grant.
    std::int64_t mShort = 0;
    /// Mean size of requests.
    double mMeanNeed = 0.0;
    /// Row as last seen.
    std::uint64_t mVersion = 0;
    std::int64_t mGranted = 0;
    bool mRowKnown = false;
    std::optional<pending_change> mPending;
    /// Unanswered change that may still be applied while the row has the
    /// version it expects.
    std::optional<pending_change> mUnsettled;
    time_point mNotBefore;
    unsigned mConflicts = 0;
    /// Tokens used in the current and the previous period.
    double mUsedNow = 0;
    double mUsedBefore = 0;
    time_point mPeriodEnds;
    /// Request to another node that awaits its answer.
    std::optional<addressed_request> mAsked;
    time_point mAskAgain;
    time_point mAskEnds;
    /// Nodes asked since the account became short.
    std::vector<std::string> mTriedHolders;
    /// Need of this or another node that the held tokens cover and the bound
    /// does not; cleared by a statement.
    std::int64_t mBoundNeed = 0;
  };
  /// A statement that may be in the store.
  struct statement
  {
    std::uint64_t mSequence = 0;
    std::map<std::string, holding_entry> mAccounts;
    time_point mExpires;
  };
  struct given_transfer
  {
    token_transfer mTransfer;
    time_point mForgetAt;
  };

  void Roll(account_state& aState, time_point aNow) const;
  /// Of the current and the previous period, whichever is higher.
  double UsedPerSecond(const account_state& aState, time_point aNow) const;
  std::int64_t Target(const account_state& aState, time_point aNow) const;
  /// Nodes that use the account, this one included.
  std::int64_t Sharers(const account_id& aAccount) const;
  std::int64_t DrawAmount(const account_id& aAccount,
                          const account_state& aState,
                          time_point aNow) const;
  std::int64_t ReturnAmount(const account_id& aAccount,
                            const account_state& aState,
                            time_point aNow) const;
  /// Tokens that may be passed out now.
  std::int64_t Available(const account_id& aAccount,
                         const account_state& aState,
                         time_point aNow) const;
  std::int64_t NextBound(const account_state& aState, time_point aNow) const;
  bool Expired(time_point aNow) const;
  /// Tokens that other nodes report.
  std::int64_t HeldElsewhere(const account_id& aAccount) const;
  const token_holder* NextHolder(const account_id& aAccount,
                                 const account_state& aState) const;
  /// A statement of this run is in the store, in place of the earlier run's.
  void ConfirmStated();
  std::chrono::milliseconds Backoff(const account_id& aAccount,
                                    const account_state& aState) const;

  std::string mRun;
  escrow_settings mSettings;
  std::size_t mNodes = 1;
  std::uint64_t mSequence = 0;
  bool mReturning = false;
  std::unordered_map<account_id, account_state> mAccounts;

  /// Statements that bind this node, oldest first.
  std::deque<statement> mStatements;
  std::uint64_t mStatementVersion = 0;
  bool mStating = false;
  bool mEverStated = false;
  /// A bound is too low for a request that the held tokens cover.
  bool mBoundShort = false;
  time_point mNextStatement;
  /// Tokens of the earlier run of this host. They count once that run's
  /// statement is replaced, so that no third run can take them as well.
  std::unordered_map<account_id, std::int64_t> mTakenOver;
  std::optional<std::chrono::milliseconds> mStoreTime;
  time_point mStoreTimeAt;

  time_point mLastStated;
  token_holders mHolders;
  /// Recent answers by asking run and request.
  std::map<std::pair<std::uint64_t, std::uint64_t>, given_transfer> mGiven;
  std::set<std::uint64_t> mAccepted;
};
