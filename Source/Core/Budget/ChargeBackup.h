#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include "Budget/BudgetTypes.h"

/// Stores copies of other holders' charges until they are in the table service.
/// When a holder is dead, it writes the charges, adds itself to the sealed
/// backups in the holder's row and, once all listed backups have done so,
/// returns the holder's grants.
///
/// It does no I/O: the node sends what `Tick` returns and passes the replies
/// in. Table calls always get a reply, at the latest a timeout.
class charge_backup
{
public:
  charge_backup(incarnation_id aSelf,
                const budget_settings& aSettings,
                std::uint64_t aSeed);

  /// Stores charges that `aFrom` sent.
  hold_outcome OnHold(const incarnation_id& aFrom,
                      const std::vector<charge>& aCharges,
                      time_point aNow);
  /// Deletes copies whose charges are in the table service.
  void OnDrop(const incarnation_id& aFrom,
              const std::vector<request_id>& aRequests);

  /// Membership considers the holder dead: closes it, so that no more charges
  /// are accepted from it.
  void OnHolderDead(const incarnation_id& aHolder, time_point aNow);

  budget_output Tick(time_point aNow);
  void OnRead(std::uint64_t aId,
              const result<std::vector<table_row>, table_error>& aReply,
              time_point aNow);
  void OnCommit(const transaction_id& aId,
                const result<commit_reply, table_error>& aReply,
                time_point aNow);

  /// Accepts no new charges; those of dead holders are still written.
  void BeginShutdown() { mShuttingDown = true; }
  /// Returns whether shutdown has begun and no charges of closed holders are
  /// left to write.
  bool IsDrained() const;

  /// Returns whether a copy of the holder's charge is stored here.
  bool HasCopy(const incarnation_id& aHolder, const request_id& aRequest) const;
  std::size_t HeldChargeCount() const { return mHeldCharges; }
  const budget_counters& Counters() const { return mCounters; }

private:
  struct held_charge
  {
    charge mCharge;
    time_point mReceivedAt;
  };

  struct holder_entry
  {
    std::unordered_map<request_id, held_charge> mCharges;
    /// No more charges are accepted from this holder.
    bool mClosed = false;
    /// This backup is not listed and has waited once, so that the listed ones
    /// can return the grants first.
    bool mWaitedForListed = false;
    std::uint32_t mFailures = 0;
  };

  enum class job_phase : std::uint8_t
  {
    Idle,
    Holder,
    Rows,
    Segments,
    Scan,
    ReclaimRows,
    Commit,
  };

  struct job_item
  {
    budget_id mBudget;
    budget_row mRow;
    std::uint64_t mVersion = 0;
    std::vector<charge> mCharges;
  };

  /// Work for one holder up to one commit. The phases read the holder row, then
  /// either the budget rows and segments for its charges or, for a closed
  /// holder, the grant index and its budget rows. One job runs at a time.
  struct job
  {
    job_phase mPhase = job_phase::Idle;
    incarnation_id mHolder;
    time_point mStartedAt;
    std::uint64_t mReadId = 0;
    holder_row mRow;
    std::uint64_t mVersion = 0;
    std::vector<job_item> mItems;
    std::vector<std::pair<std::size_t, std::uint64_t>> mSegmentsToRead;
    std::size_t mSegmentsRead = 0;
    std::size_t mSegmentsRequested = 0;
    table_transaction mTransaction;
    std::vector<request_id> mWrittenRequests;
    std::uint64_t mUngranted = 0;
    std::uint64_t mUnfunded = 0;
    bool mDeletesHolder = false;
    bool mCommitDue = false;
    time_point mCommitAt;
  };

  void ScheduleJob(const incarnation_id& aHolder, time_point aAt);
  void StartJob(time_point aNow);
  void RequestRows(job_phase aPhase, std::vector<std::string> aKeys);
  void OnHolderRow(const table_row& aRow, time_point aNow);
  void AdvanceHolderState(time_point aNow);
  void SelectCharges(time_point aNow);
  void OnRows(const std::vector<table_row>& aRows, time_point aNow);
  void RequestSegments(time_point aNow);
  void OnSegments(const std::vector<table_row>& aRows, time_point aNow);
  void ComposeFlush(time_point aNow);
  void OnGrantIndex(const std::vector<table_row>& aRows, time_point aNow);
  void ComposeReclaim(const std::vector<table_row>& aRows, time_point aNow);
  transaction_id NewTransactionId();
  void BeginTransaction();
  void Submit(time_point aNow);
  bool CanReclaimUnlisted(time_point aNow);
  void DeleteUnlistedCopies();
  void ForgetCharges(const incarnation_id& aHolder);
  void EraseCharge(holder_entry& aEntry, const request_id& aRequest);
  void EndJob(std::optional<time_point> aRetryAt);
  void RetryJobLater(time_point aNow);
  time_point BackoffEnd(std::uint32_t aFailures, time_point aNow);

  incarnation_id mSelf;
  budget_settings mSettings;
  std::mt19937_64 mRandom;
  budget_counters mCounters;
  std::map<incarnation_id, holder_entry> mHolders;
  std::size_t mHeldCharges = 0;
  std::set<std::pair<time_point, incarnation_id>> mSchedule;
  std::map<incarnation_id, time_point> mScheduledAt;
  job mJob;
  std::uint64_t mNextCallId = 1;
  bool mShuttingDown = false;
  budget_output mOutput;
};
