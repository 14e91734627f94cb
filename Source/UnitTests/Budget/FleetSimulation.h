#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Budget/BudgetSystem.h"
#include "Budget/ChargeBackup.h"
#include "FakeTable.h"

/// Simulates a few nodes, their table and their callers under random failures
/// from one seed. `Run` injects failures, ends them all, waits until the nodes
/// have recovered and checks the result.
///
/// The design accepts one kind of loss: a node and all backups of its delivered
/// charges die before the charges are written. `CanFailSafely` prevents this
/// case.
class fleet_simulation
{
public:
  explicit fleet_simulation(std::uint64_t aSeed);

  void Run();

  const std::vector<std::string>& Violations() const { return mViolations; }
  /// Counts of events, to show that the failures occurred.
  const std::map<std::string, std::uint64_t>& Counts() const { return mCounts; }

private:
  enum class store_mode
  {
    Up,
    Down,
    Slow,
    LosesReplies,
  };

  struct attempt
  {
    std::size_t mRequest = 0;
    int mTries = 0;
    bool mOpen = false;
    bool mSettled = false;
  };

  struct process
  {
    std::uint64_t mIncarnation = 0;
    bool mAlive = false;
    bool mPaused = false;
    bool mLeaving = false;
    /// Open responses finish after fencing instead of being cancelled.
    bool mFinishesOpenRequests = false;
    store_mode mStoreMode = store_mode::Up;
    std::unique_ptr<budget_system> mSystem;
    std::unique_ptr<charge_backup> mBackup;
    std::vector<std::function<void()>> mInbox;
    std::map<request_id, attempt> mAttempts;
    std::map<incarnation_id, time_point> mLastSeen;
    std::set<incarnation_id> mDeadHolders;
  };

  struct caller_request
  {
    request_id mId;
    budget_id mBudget;
    std::int64_t mTokens = 0;
    bool mReserved = false;
    /// Tokens that each settled attempt should be charged.
    std::set<std::int64_t> mPossibleCharges;
    bool mDelivered = false;
    /// The charge was found in the table.
    mutable bool mWritten = false;
  };

  using step = std::function<void()>;

  std::int64_t Random(std::int64_t aLow, std::int64_t aHigh);
  bool Chance(int aPercent) { return Random(1, 100) <= aPercent; }
  void RunAfter(std::int64_t aMilliseconds, step aStep);
  /// Runs a step in a process, if the same incarnation is still alive.
  void RunInProcess(std::size_t aProcess,
                    std::int64_t aMilliseconds,
                    step aStep);
  void AtIncarnation(std::size_t aProcess,
                     std::uint64_t aIncarnation,
                     std::int64_t aMilliseconds,
                     step aStep);
  void RunUntil(time_point aEnd);

  void Start(std::size_t aProcess);
  void Terminate(std::size_t aProcess);
  bool CanFailSafely(std::size_t aProcess) const;
  bool HasListedCopy(const process& aProcess,
                     const incarnation_id& aHolder,
                     const request_id& aRequest) const;
  void RestartIfDrained(std::size_t aProcess);
  void TickProcess(std::size_t aProcess);
  void ScheduleTicks(std::size_t aProcess);
  void ExecuteOutput(std::size_t aProcess,
                     bool aToBackup,
                     const budget_output& aOut);
  template<class Reply>
  void CallStore(std::size_t aProcess,
                 std::function<Reply()> aEffect,
                 std::function<void(result<Reply, table_error>)> aReply);
  void DeliverHold(std::size_t aProcess, const hold_message& aMessage);
  std::size_t IndexOf(const incarnation_id& aHolder) const;
  incarnation_id HolderOf(std::size_t aProcess) const;
  bool AreConnected(std::size_t aOne, std::size_t aOther) const;
  void UpdateMembership();
  /// Reports the holder rows of earlier incarnations as dead, as nodes do.
  void ReportDeadHolders(std::size_t aProcess);

  void NewRequest();
  void TryReserve(std::size_t aProcess, std::size_t aRequest, int aTries);
  void FinishRequest(std::size_t aProcess, const request_id& aRequest);
  void CancelOpen(std::size_t aProcess);
  void InjectFault();
  void TopUp();

  void Heal();
  void WriteOffStranded();
  void CheckFundsUsable();
  void CheckGranted(const process& aProcess);
  void CheckEnd();
  void AddViolation(const std::string& aWhat);

  std::mt19937_64 mRandom;
  time_point mNow{ std::chrono::seconds(1000) };
  std::multimap<time_point, step> mEvents;
  budget_settings mSettings;
  fake_table mTable;
  std::vector<process> mProcesses;
  std::set<std::pair<std::size_t, std::size_t>> mCutLinks;
  std::vector<budget_id> mBudgets;
  std::vector<caller_request> mRequests;
  std::map<transaction_id, std::pair<incarnation_id, table_transaction>>
    mInFlight;
  bool mInjectFaults = true;
  bool mStopping = false;
  std::vector<std::string> mViolations;
  std::map<std::string, std::uint64_t> mCounts;
};
