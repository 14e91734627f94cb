#pragma once

#include <array>
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
#include "Gateway/ClaimRow.h"
#include "Gateway/GrantRow.h"
#include "Gateway/StoreContact.h"

/// Shares the prepaid tokens of accounts between nodes.
///
/// The store holds, per account, the number of tokens granted to all nodes so
/// far. A node spends only what it was granted, so no outage, pause or lost
/// reply can overspend.
///
/// Each node also writes a claim, a row of its own with the tokens it received
/// and two limits on what it passes out. The node keeps to the spend limit
/// until the claim expires, and to the higher hard limit until another claim
/// has replaced it in the store. The next run on the same host takes over the
/// tokens above the spend limit if the claim was in force when the earlier run
/// ended, those above the hard limit otherwise. Any node takes over the tokens
/// above the hard limit by replacing the row under its version, because the
/// owner can then commit no further claim before it has read what was taken.
///
/// In small fleets the limits of a claim rise at the rate of the usage, and
/// without a later claim they stop soon, unless a quorum of other nodes states
/// that it lost the store as well. If the owner was lost alone, those nodes
/// prove to the next run on its host that the limits had stopped.

enum class reserve_verdict : std::uint8_t
{
  Granted,
  /// Tokens are being fetched; try again after the next change.
  Awaiting,
  /// All tokens are granted, and no node that is known to hold some has enough.
  Exhausted,
};

/// A conditional write of an account's row; answered by one of `OnCommit`,
/// `OnConflict`, `OnRefused` and `OnUnknown`.
struct grant_change
{
  account_id mAccount;
  std::uint64_t mExpectedVersion = 0;
  grant_row mRow;
  auto operator<=>(const grant_change&) const = default;
};

/// A conditional write of this node's claim; answered by one of
/// `OnClaimCommitted`, `OnClaimConflict` and `OnClaimFailed`.
struct claim_change
{
  std::uint64_t mExpectedVersion = 0;
  claim_row mRow;
  auto operator<=>(const claim_change&) const = default;
};

/// A node that holds free tokens of an account.
struct token_holder
{
  /// Datagram address.
  std::string mAddress;
  std::int64_t mTokens = 0;
  auto operator<=>(const token_holder&) const = default;
};

/// Hash of an account's name, its key in messages between nodes.
std::uint32_t AccountKey(const account_id& aAccount);

/// Holders of each account by `AccountKey`, sorted by tokens, most first.
using token_holders =
  std::unordered_map<std::uint32_t, std::vector<token_holder>>;

/// Requests tokens from another node that was granted more than it needs. This
/// works while the store is unreachable and when all tokens are granted.
struct token_request
{
  /// Datagram address for the answer.
  std::string mAddress;
  /// Unique within the requesting run; a repeated request gets the same answer.
  std::uint64_t mId = 0;
  std::uint64_t mRun = 0;
  account_id mAccount;
  /// Smallest number of tokens that is of use.
  std::int64_t mNeeded = 0;
  std::int64_t mWanted = 0;
  auto operator<=>(const token_request&) const = default;
};

/// Tokens that now belong to the requesting run. The sender deducted them
/// before it sent this, so a lost transfer loses them.
struct token_transfer
{
  std::uint64_t mId = 0;
  std::uint64_t mRun = 0;
  account_id mAccount;
  std::int64_t mTokens = 0;
  auto operator<=>(const token_transfer&) const = default;
};

/// A request and the datagram address that it is sent to.
struct addressed_request
{
  std::string mTo;
  token_request mRequest;
};

/// What became of the tokens in the claim of an earlier run on the host.
struct claim_takeover
{
  std::int64_t mTakenOver = 0;
  /// Tokens that the earlier run may have passed out after its claim.
  std::int64_t mLost = 0;
  /// Witnesses that prove that the limits had stopped, and how many must do so.
  std::size_t mProofs = 0;
  std::size_t mProofsNeeded = 0;
  /// The takeover waits for more witnesses.
  bool mWaits = false;
  auto operator<=>(const claim_takeover&) const = default;
};

struct allowance_settings
{
  /// Time in seconds of the observed usage that a node holds in advance. It
  /// covers a store outage of 9 s, as the deployments have.
  double mHorizonSeconds = 10.0;
  /// Share of an account's tokens that all nodes together draw at their start;
  /// it covers an outage before the usage is known.
  double mInitialShare = 0.15;
  /// Tokens held beyond this multiple of the target are returned.
  double mReturnFactor = 2.0;
  /// Time for which a claim's spend limit binds the node. It is longer than a
  /// loss of power of 3 s, so that the tokens can be taken over. A longer time
  /// would bind nodes for more of an outage of the store.
  std::chrono::milliseconds mClaimTimeToLive{ 3300 };
  /// Interval between claims.
  std::chrono::milliseconds mClaimInterval{ 300 };
};

class token_allowance
{
public:
  /// `aRun` identifies this run of the process.
  token_allowance(std::string aRun, const allowance_settings& aSettings);

  const std::string& Run() const { return mRun; }
  /// Sets the total of an account from the newest configuration.
  void SetTotal(const account_id& aAccount, std::int64_t aTokens);
  /// Sets the time at which this run had bound the addresses of its host. The
  /// earlier run on the host had ended by then. Without it, that run counts as
  /// ended when its claim is read.
  void SetStart(time_point aStartedAt) { mStartedAt = aStartedAt; }
  /// Sets the number of nodes that share the accounts.
  void SetNodes(std::size_t aNodes) { mNodes = aNodes == 0 ? 1 : aNodes; }
  /// Whether the other nodes have had the time to report since the start.
  bool KnowsFleet(time_point aNow) const;

  reserve_verdict Reserve(const account_id& aAccount,
                          std::int64_t aTokens,
                          time_point aNow);
  /// Ends a reservation of which `aUsed` tokens were consumed and frees the
  /// others.
  void FinishReservation(const account_id& aAccount,
                         std::int64_t aReserved,
                         std::int64_t aUsed,
                         time_point aNow);

  /// Counts a request that was refused for lack of tokens. Its size counts as
  /// usage, so that a node whose store is slow still draws what its clients
  /// need.
  void OnUnmetDemand(const account_id& aAccount,
                     std::int64_t aTokens,
                     time_point aNow);

  /// When a request of `aTokens` that was refused may be covered: by a pending
  /// draw or transfer, by a claim that expires, by reservations that end, or by
  /// tokens of lost nodes. Nothing if no tokens are expected.
  std::optional<time_point> TokensExpectedAt(const account_id& aAccount,
                                             std::int64_t aTokens,
                                             time_point aNow) const;

  /// Whether a request for which `Reserve` returned `Awaiting` may be covered
  /// within `aWait`. In a large fleet without contact to the store it is false
  /// if neither this node nor one that reported tokens can cover it.
  bool MayCoverWithin(const account_id& aAccount,
                      std::int64_t aTokens,
                      std::chrono::milliseconds aWait,
                      time_point aNow) const;

  /// Returns the grant changes to write now, at most one per account at a time.
  std::vector<grant_change> TakeGrantChanges(time_point aNow);
  /// Returns the accounts whose rows are to be read now; answered by
  /// `OnGrantRead` if the row exists and is readable.
  std::vector<account_id> TakeGrantReads(time_point aNow);
  /// `aCurrent` is empty, with version 0, if the row does not exist.
  void OnGrantRead(const account_id& aAccount,
                   const std::optional<grant_row>& aCurrent,
                   std::uint64_t aVersion,
                   time_point aNow);
  /// From now on returns all unreserved tokens to the store; used at the end of
  /// the process.
  void ReturnAll() { mReturning = true; }
  /// Whether a change awaits its reply or tokens are still to be returned.
  bool HasPendingChanges() const;

  void OnCommit(const account_id& aAccount,
                std::uint64_t aVersion,
                time_point aNow);
  /// The row had another version; `aCurrent` is empty if it does not exist.
  void OnConflict(const account_id& aAccount,
                  const std::optional<grant_row>& aCurrent,
                  std::uint64_t aVersion,
                  time_point aNow);
  void OnRefused(const account_id& aAccount, time_point aNow);
  /// No reply: the change may be applied now, later or never.
  void OnUnknown(const account_id& aAccount, time_point aNow);

  /// Sets the era of the store. If it rises, the store came back from an older
  /// copy of its rows: what this node knows of the rows is read again, and what
  /// the copy lacks is written again.
  void OnStoreEra(std::uint64_t aEra, time_point aNow);
  /// Whether a row that states this era is as it was in the copy from which the
  /// store came back. Rows without an era, 0, come from versions that state
  /// none, or from a copy if this run saw the store come back.
  bool IsOfCopy(std::uint64_t aRowEra) const
  {
    return aRowEra < mEra && (aRowEra != 0 || mEraBeganAt.has_value());
  }
  /// Sets whether all nodes that ran when the era began still run, so that no
  /// grant is unknown once they have had the time to state theirs.
  void SetFleetWhole(bool aWhole) { mFleetWhole = aWhole; }

  /// Sets what other nodes state of their contact to the store.
  void SetPeerContacts(store_contacts aContacts)
  {
    mPeerContacts = std::move(aContacts);
  }
  /// Whether newer statements may change what can be spent or taken over now.
  bool NeedsContacts(time_point aNow) const;
  /// Whether the store did not take the newest claim.
  bool IsStoreLost(time_point aNow) const;

  /// Updates the estimate of the store's clock from any reply.
  void OnStoreTime(std::chrono::milliseconds aStoreTime, time_point aNow);
  /// Returns the claim to write now, if one is due.
  std::optional<claim_change> TakeClaim(time_point aNow);
  void OnClaimCommitted(std::uint64_t aVersion, time_point aNow);
  /// The row had another version. It belongs to an earlier run of this host,
  /// whose tokens above the limit at its end are taken over, or to a write of
  /// this run whose reply was lost. The takeover waits for statements of the
  /// witnesses, up to 1.5 s after the start. `aStoreTime` is the store's
  /// clock in the reply to the write that was sent at `aSentAt`. Returns what
  /// became of the tokens of the earlier run.
  claim_takeover OnClaimConflict(const std::optional<claim_row>& aCurrent,
                                 std::uint64_t aVersion,
                                 std::chrono::milliseconds aStoreTime,
                                 time_point aSentAt);
  /// Counts tokens that this node took over from the claim of another one.
  void OnTakenOver(const claimed_tokens& aTokens, time_point aNow);
  /// `aUnknown` is true if the write may still be applied.
  void OnClaimFailed(bool aUnknown);

  /// Sets the nodes with free tokens, from their newest reports.
  void SetHolders(token_holders aHolders) { mHolders = std::move(aHolders); }
  /// Returns the token requests to send now for accounts that lack tokens;
  /// unanswered ones are repeated.
  std::vector<addressed_request> TakeTokenRequests(std::uint64_t aRun,
                                                   time_point aNow);
  /// Addresses of nodes that reported tokens and did not transfer what was
  /// needed, since the last call.
  std::vector<std::string> TakeUnhelpfulHolders();
  /// Answers the request of another node; returns nothing if no tokens can be
  /// spared.
  std::optional<token_transfer> AnswerRequest(const token_request& aRequest,
                                              time_point aNow);
  /// Whether the request was answered with tokens before.
  bool WasAnswered(const token_request& aRequest) const;
  void OnTransfer(const token_transfer& aTransfer, std::uint64_t aRun);
  /// Free tokens by `AccountKey`, for the reports to other nodes.
  std::vector<std::pair<std::uint32_t, std::int64_t>> AllFreeTokens(
    time_point aNow) const;

  std::int64_t FreeTokens(const account_id& aAccount) const;
  std::int64_t UngrantedTokens(const account_id& aAccount) const;

private:
  // In larger fleets no tokens are drawn before the first usage, and a claim's
  // hard limit spares tokens for others.
  static constexpr std::size_t kMaxSmallFleetNodes = 16;
  static constexpr std::size_t kRecentIntervals = 4;
  // Time without a reply after which the store counts as unreachable; it
  // replies within a few ms.
  static constexpr std::chrono::milliseconds kStoreReplyTimeout{ 100 };

  struct pending_change
  {
    std::uint64_t mSequence = 0;
    std::int64_t mAmount = 0;
    /// The row that is written.
    grant_row mRow;
    /// When the store counts as unreachable if the change has no reply.
    time_point mReplyDueAt;
    /// The change was written before, without a reply.
    bool mIsRepeated = false;
  };
  /// What was known of an account's row before the store came back from a copy.
  struct lost_state
  {
    row_state mState;
    std::int64_t mGranted = 0;
  };
  /// Tokens that the store granted to this node, or negative if returned, or
  /// that it took over from another one.
  struct recent_grant
  {
    time_point mAt;
    std::int64_t mTokens = 0;
    bool mTakenOver = false;
  };
  struct account_state
  {
    std::int64_t Free() const { return mReceived - mSpent; }

    std::int64_t mTotal = 0;
    /// Tokens of the requests in progress.
    std::int64_t mReserved = 0;
    /// Tokens granted, transferred or taken over to this run.
    std::int64_t mReceived = 0;
    /// Tokens reserved, used, transferred away or returned by this run.
    std::int64_t mSpent = 0;
    /// Tokens of the largest request that could not be covered; reset by a
    /// grant.
    std::int64_t mUnmetNeed = 0;
    /// Moving average of the request size in tokens.
    double mMeanRequestTokens = 0.0;
    /// Version of the stored row as last seen, 0 if there is none.
    std::uint64_t mVersion = 0;
    std::int64_t mGranted = 0;
    bool mRowKnown = false;
    /// The row as last seen.
    grant_row mRow;
    /// State of an earlier era that the row may not account for.
    std::optional<lost_state> mLostState;
    /// Tokens that count as granted once more, because the row may lack them.
    std::int64_t mReissued = 0;
    std::deque<recent_grant> mRecentGrants;
    /// When the row was read, or written by this run, last.
    time_point mRowReadAt;
    time_point mNextReadAt;
    std::optional<time_point> mLastRequestAt;
    time_point mNeedExpiresAt;
    /// When tokens were last seen to be granted or transferred to another node.
    time_point mMovedAt;
    time_point mNextReturnAt;
    std::optional<pending_change> mPending;
    /// A change without a reply that may still be applied while the row has the
    /// version it expects. It is repeated as it is until a reply tells.
    std::optional<pending_change> mUnanswered;
    time_point mNextChangeAt;
    unsigned mConflicts = 0;
    /// Tokens used in the current and in the previous usage period.
    double mUsedInPeriod = 0;
    double mUsedInLastPeriod = 0;
    /// Expected usage of the requests that began in these periods.
    double mBegunInPeriod = 0;
    double mBegunInLastPeriod = 0;
    time_point mPeriodEndsAt;
    /// Expected usage of the requests that began in the latest short intervals,
    /// newest first.
    std::array<double, kRecentIntervals> mBegunRecently{};
    time_point mIntervalEndsAt;
    /// Moving average of the share of a reservation that is used.
    double mUsedShare = 1.0;
    /// Request to another node that awaits its answer.
    std::optional<addressed_request> mOpenRequest;
    time_point mResendAt;
    time_point mRequestExpiresAt;
    /// Nodes that were asked since the account began to lack tokens.
    std::vector<std::string> mTriedHolders;
    /// No node is asked before this time, because none could help.
    time_point mNextRequestAt;
    /// Tokens that another node asked for and that are drawn for it.
    std::int64_t mPeerNeed = 0;
    time_point mPeerNeedExpiresAt;
    /// Need of this or another node that the held tokens cover but the claim's
    /// limit does not; reset by the next claim.
    std::int64_t mSpendLimitNeed = 0;
  };
  /// A claim that may be in the store.
  struct active_claim
  {
    std::uint64_t mSequence = 0;
    std::map<std::string, claim_entry> mAccounts;
    claim_terms mTerms;
    /// Start by the store's clock, and by that of this node.
    std::chrono::milliseconds mStartsAt{ 0 };
    time_point mStartedAt;

    bool IsExpired(time_point aNow) const
    {
      return aNow >= mStartedAt + mTerms.mTimeToLive;
    }
  };
  struct sent_transfer
  {
    token_transfer mTransfer;
    time_point mForgetAt;
  };

  /// Tokens that this node was granted, or took over, since the oldest copy
  /// from which the store may come back.
  static std::int64_t RecentTokens(const account_state& aState,
                                   bool aTakenOver,
                                   time_point aNow);
  static row_state RowState(const account_state& aState);
  static void RecordGrant(account_state& aState,
                          std::int64_t aTokens,
                          bool aTakenOver,
                          time_point aNow);
  /// Counts what a change of this node that the store took accounts for.
  void CountWritten(account_state& aState, const pending_change& aChange) const;
  /// Forgets the state of an earlier era that the row accounts for.
  void DropMergedState(account_state& aState) const;
  /// Whether the row may lack grants that this node knows of.
  static bool HasUnmergedState(const account_state& aState);
  /// The row that grants `aAmount` more tokens, with what this node knows of
  /// the era before.
  grant_row NextRow(const account_state& aState,
                    std::int64_t aAmount,
                    std::uint64_t aSequence,
                    time_point aNow) const;
  /// Whether all that was granted in the era before is stated by now.
  bool IsReserveKnown(time_point aNow) const;
  /// Tokens that the row may still grant.
  std::int64_t Drawable(const account_state& aState) const;
  /// Until when nodes state what was granted in the era before; nothing if that
  /// is over.
  std::optional<time_point> SettlesAt(const account_state& aState,
                                      time_point aNow) const;
  bool IsSettling(const account_state& aState, time_point aNow) const;
  /// The store's clock, by estimate; 0 before the first reply.
  std::chrono::milliseconds StoreTimeAt(time_point aNow) const;

  void RotateUsagePeriod(account_state& aState, time_point aNow) const;
  /// Tokens used per second, the higher of the rates of the current and the
  /// previous usage period.
  double UsedPerSecond(const account_state& aState, time_point aNow) const;
  /// Counts the expected usage of a request that begins or was refused.
  static void CountDemand(account_state& aState,
                          double aTokens,
                          time_point aNow);
  /// Tokens used per second, measured when requests begin. It follows growth
  /// within a second.
  double DemandPerSecond(const account_state& aState, time_point aNow) const;
  bool IsSmallFleet() const
  {
    return mNodes != 0 && mNodes <= kMaxSmallFleetNodes;
  }
  bool IsLargeFleet() const { return mNodes > kMaxSmallFleetNodes; }
  /// Whether the node holds tokens for a whole outage of the store: in a large
  /// fleet, while more than half of the account's total is not granted.
  bool HoldsForOutage(const account_state& aState) const
  {
    return IsLargeFleet() && aState.mGranted < aState.mTotal / 2;
  }
  /// Whether clients used the account at this node lately.
  bool HasDemand(const account_state& aState, time_point aNow) const;
  /// Tokens that are not granted, or free on this node or on others.
  std::int64_t UnspentTokens(const account_id& aAccount,
                             const account_state& aState) const;
  bool IsScarce(const account_id& aAccount, const account_state& aState) const;
  std::int64_t TargetTokens(const account_id& aAccount,
                            const account_state& aState,
                            time_point aNow) const;
  /// Number of nodes that use the account, this one included.
  std::int64_t SharingNodes(const account_id& aAccount) const;
  std::int64_t DrawAmount(const account_id& aAccount,
                          const account_state& aState,
                          time_point aNow) const;
  std::int64_t ReturnAmount(const account_id& aAccount,
                            account_state& aState,
                            time_point aNow);
  /// Tokens that may be passed out now without exceeding the limit of a claim.
  std::int64_t Available(const account_id& aAccount,
                         const account_state& aState,
                         time_point aNow) const;
  claim_entry NextClaimEntry(const account_id& aAccount,
                             const account_state& aState,
                             time_point aNow) const;
  /// Tokens that the hard limit of a claim allows for.
  std::int64_t OutageTokens(const account_id& aAccount,
                            const account_state& aState,
                            time_point aNow) const;
  /// Tokens of up to `aRequests` requests of mean size that a claim's limits
  /// allow for in addition to the usage, less where many nodes hold the
  /// account.
  double ReservedForRequests(const account_id& aAccount,
                             const account_state& aState,
                             double aRequests) const;
  void ForgetExpiredClaims(time_point aNow);
  /// Terms of the next claim.
  claim_terms NextTerms() const;
  /// Whether a quorum of the claim's witnesses states that the store is lost.
  bool HasQuorum(const active_claim& aClaim) const;
  /// Age up to which the limits of a claim have risen.
  std::chrono::milliseconds LimitAge(const active_claim& aClaim,
                                     time_point aNow) const;
  /// Witnesses that were in contact with the store from the start of the claim
  /// until after `aEnd`, by the store's clock.
  std::size_t CountProofs(const claim_row& aRow,
                          std::chrono::milliseconds aEnd) const;
  /// Replaces what is known of this run's claims by the row in the store.
  void AdoptStoredClaim(const claim_row& aRow);
  bool ClaimsExpired(time_point aNow) const;
  /// Latest time, by the store's clock, at which the earlier run of this host
  /// can have ended.
  std::chrono::milliseconds LatestEndOfEarlierRun(
    std::chrono::milliseconds aStoreTime,
    time_point aSentAt) const;
  /// Free tokens of the account that other nodes report.
  std::int64_t FreeTokensOnPeers(const account_id& aAccount) const;
  /// Tokens that can be spent without a claim that cannot be written now.
  std::int64_t SpendableTokens(const account_id& aAccount,
                               const account_state& aState,
                               time_point aNow) const;
  const token_holder* NextHolder(const account_id& aAccount,
                                 const account_state& aState) const;
  /// Called when a claim of this run has replaced that of the earlier run in
  /// the store.
  void ConfirmClaim(time_point aNow);
  std::chrono::milliseconds ClaimInterval() const;
  /// Time in which a change of what a node holds reaches all others.
  std::chrono::milliseconds ReportTime() const;
  /// Whether the claim in the store is empty and there is nothing to add to it.
  bool IsStoredClaimEmpty() const;
  /// Whether the limits cannot be raised because the store does not reply.
  bool AreLimitsFixed(time_point aNow) const;
  std::int64_t TransferAmount(const token_request& aRequest,
                              const account_state& aState,
                              time_point aNow) const;
  /// Records the stored row. Returns whether it shows that the unanswered
  /// change was applied.
  bool LearnRow(account_state& aState,
                const std::optional<grant_row>& aCurrent,
                std::uint64_t aVersion,
                time_point aNow);
  std::chrono::milliseconds Backoff(const account_id& aAccount,
                                    const account_state& aState) const;

  std::string mRun;
  allowance_settings mSettings;
  std::optional<time_point> mStartedAt;
  /// 0 until the other nodes have reported.
  std::size_t mNodes = 0;
  /// This run in messages between nodes.
  std::uint64_t mRunNumber = 0;
  std::uint64_t mSequence = 0;
  bool mReturning = false;
  std::unordered_map<account_id, account_state> mAccounts;

  /// Claims that bind this node, oldest first.
  std::deque<active_claim> mClaims;
  /// The newest write, and the one without a reply, which is repeated as it is:
  /// a later claim could not raise the limits, because both may be in the
  /// store.
  std::optional<claim_change> mSentClaim;
  std::optional<claim_change> mUnansweredClaim;
  store_contacts mPeerContacts;
  /// Tokens above the hard limits of expired claims that may be in the store.
  claimed_tokens mExpiredTakeable;
  /// Tokens that others took over from the claim of this sequence.
  std::uint64_t mTakenSequence = 0;
  claimed_tokens mKnownTaken;
  std::uint64_t mClaimVersion = 0;
  bool mClaimPending = false;
  /// When the store counts as unreachable if no claim has been written by then.
  time_point mClaimReplyDueAt;
  /// The newest claim that ended was not written.
  bool mClaimFailed = false;
  bool mClaimConfirmed = false;
  bool mStoredClaimEmpty = false;
  /// A claim's limit is too low for a request that the held tokens cover.
  bool mSpendLimitTooLow = false;
  time_point mNextClaimAt;
  /// Tokens of the earlier run of this host. They count once that run's claim
  /// is replaced, so that no third run can take them as well.
  std::unordered_map<account_id, std::int64_t> mTakenOver;
  std::uint64_t mEra = 0;
  /// When this run saw the era begin; nothing if it began before.
  std::optional<time_point> mEraBeganAt;
  bool mFleetWhole = false;
  /// Sequence of the newest claim that the store took.
  std::uint64_t mCommittedClaim = 0;
  std::optional<std::chrono::milliseconds> mStoreTime;
  time_point mStoreTimeAt;

  time_point mLastClaimAt;
  token_holders mHolders;
  std::set<std::string> mUnhelpfulHolders;
  /// Recently sent transfers by requesting run and request identity.
  std::map<std::pair<std::uint64_t, std::uint64_t>, sent_transfer>
    mSentTransfers;
  std::set<std::uint64_t> mAcceptedTransferIds;
};
