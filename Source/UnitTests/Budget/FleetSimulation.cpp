#include "FleetSimulation.h"

#include "Budget/BudgetOperations.h"
#include "Common/Hash.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kFaultPhaseMs = 25'000;
constexpr seconds kRecoveryTime(30);

} // namespace

fleet_simulation::fleet_simulation(std::uint64_t aSeed)
  : mRandom(aSeed)
{
  mSettings.mMaxFlushDelay = seconds(2);
  mSettings.mMinJoinAge = milliseconds(500);
  mSettings.mGrantCoverTime = seconds(20);
  mSettings.mScarceGrantCoverTime = seconds(2);
  mSettings.mIdleReturnDelay = seconds(4);
  mSettings.mScarceReturnDelay = seconds(1);
  mSettings.mForgetDelay = seconds(8);
  mSettings.mRecheckInterval = milliseconds(500);
  mSettings.mMaxBackoff = seconds(1);
  mSettings.mHoldTimeout = milliseconds(300);
  mSettings.mBackupCheckInterval = seconds(5);
  mSettings.mTransactionRate = 5;
  mSettings.mMaxRowsPerTransaction = Chance(50) ? 100 : Random(4, 12);
  mSettings.mMaxChargesPerMessage = Chance(50) ? 1000 : Random(3, 12);
  mSettings.mMaxKeysPerRead = Chance(50) ? 200 : Random(4, 12);
  mSettings.mMaxBackups = Random(1, 3);
  for (std::int64_t i = Random(1, 3); i > 0; --i) {
    const budget_id budget{ "budget-" + std::to_string(i) };
    const auto created =
      CreateBudget(budget, {}, Random(500, 15'000), { mRandom(), mRandom() });
    mTable.Commit(created.value());
    mBudgets.push_back(budget);
  }
  mProcesses.resize(Random(2, 5));
  for (std::size_t i = 0; i < mProcesses.size(); ++i) {
    Start(i);
  }
  UpdateMembership();
}

void fleet_simulation::Run()
{
  const std::int64_t rate = Random(3, 20);
  for (std::int64_t at = 0; at < kFaultPhaseMs; at += 1000 / rate) {
    RunAfter(at, [this] { NewRequest(); });
  }
  const bool withoutFaults = Chance(5);
  for (std::int64_t at = 500; at < kFaultPhaseMs; at += Random(200, 3000)) {
    RunAfter(at,
             [this, withoutFaults] { withoutFaults ? void() : InjectFault(); });
  }
  RunUntil(mNow + milliseconds(kFaultPhaseMs));
  Heal();
  RunUntil(mNow + kRecoveryTime + seconds(10));
  WriteOffStranded();
  RunUntil(mNow + seconds(10));
  CheckFundsUsable();
  mStopping = true;
  for (process& node : mProcesses) {
    node.mSystem->BeginShutdown(mNow);
    node.mLeaving = true;
  }
  RunUntil(mNow + kRecoveryTime);
  CheckEnd();
}

std::int64_t fleet_simulation::Random(std::int64_t aLow, std::int64_t aHigh)
{
  return std::uniform_int_distribution<std::int64_t>(aLow, aHigh)(mRandom);
}

void fleet_simulation::RunAfter(std::int64_t aMilliseconds, step aStep)
{
  mEvents.emplace(mNow + milliseconds(aMilliseconds), std::move(aStep));
}

void fleet_simulation::RunInProcess(std::size_t aProcess,
                                    std::int64_t aMilliseconds,
                                    step aStep)
{
  AtIncarnation(aProcess,
                mProcesses[aProcess].mIncarnation,
                aMilliseconds,
                std::move(aStep));
}

void fleet_simulation::AtIncarnation(std::size_t aProcess,
                                     std::uint64_t aIncarnation,
                                     std::int64_t aMilliseconds,
                                     step aStep)
{
  RunAfter(aMilliseconds,
           [this, aProcess, aIncarnation, callback = std::move(aStep)] {
             process& node = mProcesses[aProcess];
             if (!node.mAlive || node.mIncarnation != aIncarnation) {
               return;
             }
             if (node.mPaused) {
               node.mInbox.push_back(callback);
               return;
             }
             callback();
             TickProcess(aProcess);
           });
}

void fleet_simulation::RunUntil(time_point aEnd)
{
  while (!mEvents.empty() && mEvents.begin()->first <= aEnd) {
    auto event = mEvents.extract(mEvents.begin());
    mNow = event.key();
    event.mapped()();
  }
  mNow = aEnd;
}

void fleet_simulation::Start(std::size_t aProcess)
{
  process& node = mProcesses[aProcess];
  const store_mode mode = node.mStoreMode;
  const std::uint64_t incarnation = node.mIncarnation + 1;
  node = process();
  node.mIncarnation = incarnation;
  node.mStoreMode = mode;
  node.mAlive = true;
  node.mSystem =
    std::make_unique<budget_system>(HolderOf(aProcess), mSettings, mRandom());
  node.mBackup =
    std::make_unique<charge_backup>(HolderOf(aProcess), mSettings, mRandom());
  ScheduleTicks(aProcess);
}

void fleet_simulation::ScheduleTicks(std::size_t aProcess)
{
  RunInProcess(aProcess, 150, [this, aProcess] { ScheduleTicks(aProcess); });
}

void fleet_simulation::Terminate(std::size_t aProcess)
{
  process& node = mProcesses[aProcess];
  node.mAlive = false;
  CheckGranted(node);
  for (const auto& [id, state] : node.mAttempts) {
    // The caller of an unfinished response retries at a random node.
    if (!mRequests[state.mRequest].mDelivered && mInjectFaults) {
      RunAfter(Random(0, 2000), [this, index = state.mRequest] {
        TryReserve(Random(0, mProcesses.size() - 1), index, 0);
      });
    }
  }
  node.mAttempts.clear();
}

bool fleet_simulation::HasListedCopy(const process& aProcess,
                                     const incarnation_id& aHolder,
                                     const request_id& aRequest) const
{
  if (!aProcess.mBackup->HasCopy(aHolder, aRequest)) {
    return false;
  }
  const incarnation_id self = aProcess.mSystem->Self();
  const auto lists = [&](const std::string& aText) {
    const auto row = ParseHolderRow(aText);
    const auto& backups = row.value().mBackups;
    return std::find(backups.begin(), backups.end(), self) != backups.end();
  };
  const table_row row = mTable.Row(HolderKey(aHolder));
  if (row.mVersion == 0 || !lists(row.mValue)) {
    return false;
  }
  // A transaction of the holder that is in flight may remove the backup.
  for (const auto& [id, sent] : mInFlight) {
    for (const table_write& write : sent.second.mWrites) {
      if (sent.first == aHolder && write.mKey == row.mKey && write.mValue &&
          !lists(*write.mValue)) {
        return false;
      }
    }
  }
  return true;
}

bool fleet_simulation::CanFailSafely(std::size_t aProcess) const
{
  for (const caller_request& request : mRequests) {
    if (!request.mDelivered || mTable.HasCharge(request.mBudget, request.mId)) {
      continue;
    }
    bool hasCopy = false;
    for (std::size_t i = 0; i < mProcesses.size(); ++i) {
      const process& node = mProcesses[i];
      if (i == aProcess || !node.mAlive) {
        continue;
      }
      hasCopy = hasCopy || node.mSystem->HasUnwrittenCharge(request.mId);
      for (std::size_t j = 0; j < mProcesses.size(); ++j) {
        for (auto incarnation = mProcesses[j].mIncarnation; incarnation > 0;
             --incarnation) {
          const incarnation_id holder{ HolderOf(j).mNode, incarnation };
          hasCopy = hasCopy || HasListedCopy(node, holder, request.mId);
        }
      }
    }
    if (!hasCopy) {
      return false;
    }
  }
  return true;
}

void fleet_simulation::RestartIfDrained(std::size_t aProcess)
{
  process& node = mProcesses[aProcess];
  const bool ready = node.mSystem->IsDrained() && node.mBackup->IsDrained();
  if (ready && CanFailSafely(aProcess) && !mStopping) {
    ++mCounts["replaced"];
    Terminate(aProcess);
    Start(aProcess);
  }
}

void fleet_simulation::TickProcess(std::size_t aProcess)
{
  process& node = mProcesses[aProcess];
  const budget_output out = node.mSystem->Tick(mNow);
  ExecuteOutput(aProcess, false, out);
  ExecuteOutput(aProcess, true, node.mBackup->Tick(mNow));
  std::erase_if(node.mAttempts, [&](const auto& aEntry) {
    const attempt& state = aEntry.second;
    if (!state.mSettled || !node.mSystem->IsChargeProtected(aEntry.first)) {
      return false;
    }
    ++mCounts["delivered"];
    mRequests[state.mRequest].mDelivered = true;
    return true;
  });
  if (node.mSystem->IsFenced() && !node.mLeaving) {
    ++mCounts["fenced"];
    node.mLeaving = true;
    node.mFinishesOpenRequests = Chance(50);
  }
  if (node.mSystem->IsHolderClosed() ||
      (node.mSystem->IsFenced() && !node.mFinishesOpenRequests)) {
    CancelOpen(aProcess);
  }
  if (node.mLeaving && node.mSystem->IsDrained()) {
    node.mBackup->BeginShutdown();
    RestartIfDrained(aProcess);
  }
}

template<class Reply>
void fleet_simulation::CallStore(
  std::size_t aProcess,
  std::function<Reply()> aEffect,
  std::function<void(result<Reply, table_error>)> aReply)
{
  const store_mode mode = mProcesses[aProcess].mStoreMode;
  const bool slow = mode == store_mode::Slow;
  const std::int64_t delay = slow ? Random(300, 1500) : Random(1, 20);
  if (mode == store_mode::Down || (mInjectFaults && Chance(2))) {
    const auto error = mode == store_mode::Down ? table_error::Unavailable
                                                : table_error::RateLimited;
    RunInProcess(aProcess, delay, [aReply, error] { aReply(error); });
    return;
  }
  const bool lost = mode == store_mode::LosesReplies && Chance(60);
  if (lost) {
    ++mCounts["lost replies"];
    RunInProcess(aProcess, 300, [aReply] { aReply(table_error::Timeout); });
    if (Chance(70)) {
      RunAfter(Random(1, 3000), [aEffect] { aEffect(); });
    }
    return;
  }
  const std::uint64_t incarnation = mProcesses[aProcess].mIncarnation;
  RunAfter(delay, [=, this] {
    const Reply reply = aEffect();
    AtIncarnation(
      aProcess, incarnation, delay, [aReply, reply] { aReply(reply); });
  });
}

void fleet_simulation::ExecuteOutput(std::size_t aProcess,
                                     bool aToBackup,
                                     const budget_output& aOut)
{
  using rows = std::vector<table_row>;
  budget_system* system = mProcesses[aProcess].mSystem.get();
  charge_backup* backup = mProcesses[aProcess].mBackup.get();
  const auto onRead = [=, this](std::uint64_t aId) {
    return [=, this](const result<rows, table_error>& aReply) {
      aToBackup ? backup->OnRead(aId, aReply, mNow)
                : system->OnRead(aId, aReply, mNow);
    };
  };
  for (const budget_read& read : aOut.mReads) {
    CallStore<rows>(
      aProcess,
      [this, keys = read.mKeys] { return mTable.Read(keys); },
      onRead(read.mId));
  }
  for (const budget_scan& scan : aOut.mScans) {
    CallStore<rows>(
      aProcess,
      [this, what = scan.mScan] { return mTable.Scan(what); },
      onRead(scan.mId));
  }
  for (const table_transaction& sent : aOut.mCommits) {
    mInFlight[sent.mId] = { system->Self(), sent };
    CallStore<commit_reply>(
      aProcess,
      [this, sent] {
        mInFlight.erase(sent.mId);
        return mTable.Commit(sent);
      },
      [=, this, id = sent.mId](const auto& aReply) {
        aToBackup ? backup->OnCommit(id, aReply, mNow)
                  : system->OnCommit(id, aReply, mNow);
      });
  }
  for (const hold_message& hold : aOut.mHolds) {
    DeliverHold(aProcess, hold);
  }
  for (const drop_message& drop : aOut.mDrops) {
    const std::size_t to = IndexOf(drop.mTo);
    if (to < mProcesses.size() && AreConnected(aProcess, to) && !Chance(10)) {
      RunInProcess(to, Random(1, 20), [this, to, drop, from = system->Self()] {
        mProcesses[to].mBackup->OnDrop(from, drop.mRequests);
      });
    }
  }
}

void fleet_simulation::DeliverHold(std::size_t aProcess,
                                   const hold_message& aMessage)
{
  const std::size_t to = IndexOf(aMessage.mTo);
  const incarnation_id from = HolderOf(aProcess);
  if (to >= mProcesses.size() || !AreConnected(aProcess, to)) {
    return;
  }
  const std::int64_t delay = mInjectFaults && Chance(5) ? 2000 : Random(1, 20);
  RunInProcess(to, delay, [=, this] {
    const hold_outcome outcome =
      mProcesses[to].mBackup->OnHold(from, aMessage.mCharges, mNow);
    if (!AreConnected(aProcess, to) || (mInjectFaults && Chance(5))) {
      return;
    }
    RunInProcess(aProcess, Random(1, 20), [=, this] {
      if (HolderOf(aProcess) == from) {
        mProcesses[aProcess].mSystem->OnHoldReply(aMessage.mId, outcome, mNow);
      }
    });
  });
}

std::size_t fleet_simulation::IndexOf(const incarnation_id& aHolder) const
{
  std::size_t index = 0;
  while (index < mProcesses.size() && HolderOf(index) != aHolder) {
    ++index;
  }
  return index;
}

incarnation_id fleet_simulation::HolderOf(std::size_t aProcess) const
{
  return { { "n" + std::to_string(aProcess) },
           mProcesses[aProcess].mIncarnation };
}

bool fleet_simulation::AreConnected(std::size_t aOne, std::size_t aOther) const
{
  return mCutLinks.count(std::minmax(aOne, aOther)) == 0;
}

void fleet_simulation::UpdateMembership()
{
  RunAfter(400, [this] { UpdateMembership(); });
  for (std::size_t i = 0; i < mProcesses.size(); ++i) {
    process& node = mProcesses[i];
    if (!node.mAlive || node.mPaused) {
      continue;
    }
    std::vector<incarnation_id> peers;
    for (std::size_t k = 1; k < mProcesses.size(); ++k) {
      const std::size_t j = (i + k) % mProcesses.size();
      const process& peer = mProcesses[j];
      const incarnation_id id = HolderOf(j);
      if (peer.mAlive && !peer.mPaused && AreConnected(i, j)) {
        node.mLastSeen[id] = mNow;
        if (!peer.mLeaving && node.mDeadHolders.count(id) == 0) {
          peers.push_back(id);
        }
      }
      for (const auto& [seen, at] : node.mLastSeen) {
        const bool older =
          seen.mNode == id.mNode && seen < id && node.mLastSeen.count(id) > 0;
        if ((older || mNow - at > seconds(5)) &&
            node.mDeadHolders.insert(seen).second) {
          ++mCounts["dead verdicts"];
          node.mSystem->OnHolderDead(seen, mNow);
          node.mBackup->OnHolderDead(seen, mNow);
        }
      }
    }
    node.mSystem->SetBackups(peers);
    if (Chance(mInjectFaults ? 10 : 50)) {
      ReportDeadHolders(i);
    }
  }
}

void fleet_simulation::ReportDeadHolders(std::size_t aProcess)
{
  process& node = mProcesses[aProcess];
  if (node.mStoreMode != store_mode::Up) {
    return;
  }
  for (const table_row& row : mTable.Scan({ "holder/", "", 1000 })) {
    const auto holder = ParseHolderKey(row.mKey);
    for (const auto& [seen, at] : node.mLastSeen) {
      // Repeated, because a death reported before the row was written, or
      // before this backup was listed in it, has no effect.
      if (seen.mNode == holder->mNode && *holder < seen) {
        node.mDeadHolders.insert(*holder);
        node.mSystem->OnHolderDead(*holder, mNow);
        node.mBackup->OnHolderDead(*holder, mNow);
      }
    }
  }
}
