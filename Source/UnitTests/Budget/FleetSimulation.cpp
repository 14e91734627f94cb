#include "FleetSimulation.h"

#include "Budget/BudgetOperations.h"
#include "Common/Hash.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kFaultMs = 25'000;
constexpr seconds kSettle(30);

} // namespace

fleet_simulation::fleet_simulation(std::uint64_t aSeed)
  : mRandom(aSeed)
{
  mSettings.mFlushAfter = seconds(2);
  mSettings.mJoinAfter = milliseconds(500);
  mSettings.mGrantCovers = seconds(20);
  mSettings.mScarceCovers = seconds(2);
  mSettings.mIdleReturn = seconds(4);
  mSettings.mScarceReturn = seconds(1);
  mSettings.mForgetAfter = seconds(8);
  mSettings.mRecheck = milliseconds(500);
  mSettings.mBackoffMost = seconds(1);
  mSettings.mHoldTimeout = milliseconds(300);
  mSettings.mBackupCheck = seconds(5);
  mSettings.mTransactionRate = 5;
  mSettings.mMaxRows = Chance(50) ? 100 : Random(4, 12);
  mSettings.mMaxCharges = Chance(50) ? 1000 : Random(3, 12);
  mSettings.mMaxKeys = Chance(50) ? 200 : Random(4, 12);
  mSettings.mBackups = Random(1, 3);
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
  Members();
}

void fleet_simulation::Run()
{
  const std::int64_t rate = Random(3, 20);
  for (std::int64_t at = 0; at < kFaultMs; at += 1000 / rate) {
    After(at, [this] { NewRequest(); });
  }
  const bool calm = Chance(5);
  for (std::int64_t at = 500; at < kFaultMs; at += Random(200, 3000)) {
    After(at, [this, calm] { calm ? void() : Fault(); });
  }
  RunUntil(mNow + milliseconds(kFaultMs));
  Heal();
  RunUntil(mNow + kSettle + seconds(10));
  WriteOffStranded();
  RunUntil(mNow + seconds(10));
  CheckFundsUsable();
  mStopping = true;
  for (process& node : mProcesses) {
    node.mSystem->BeginShutdown(mNow);
    node.mLeaving = true;
  }
  RunUntil(mNow + kSettle);
  CheckEnd();
}

std::int64_t fleet_simulation::Random(std::int64_t aLow, std::int64_t aHigh)
{
  return std::uniform_int_distribution<std::int64_t>(aLow, aHigh)(mRandom);
}

void fleet_simulation::After(std::int64_t aMilliseconds, step aStep)
{
  mEvents.emplace(mNow + milliseconds(aMilliseconds), std::move(aStep));
}

void fleet_simulation::At(std::size_t aProcess,
                          std::int64_t aMilliseconds,
                          step aStep)
{
  AtLife(aProcess,
         mProcesses[aProcess].mIncarnation,
         aMilliseconds,
         std::move(aStep));
}

void fleet_simulation::AtLife(std::size_t aProcess,
                              std::uint64_t aLife,
                              std::int64_t aMilliseconds,
                              step aStep)
{
  After(aMilliseconds, [this, aProcess, aLife, doIt = std::move(aStep)] {
    process& node = mProcesses[aProcess];
    if (!node.mAlive || node.mIncarnation != aLife) {
      return;
    }
    if (node.mPaused) {
      node.mInbox.push_back(doIt);
      return;
    }
    doIt();
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
  const store_mode mode = node.mStore;
  const std::uint64_t incarnation = node.mIncarnation + 1;
  node = process();
  node.mIncarnation = incarnation;
  node.mStore = mode;
  node.mAlive = true;
  node.mSystem =
    std::make_unique<budget_system>(Identity(aProcess), mSettings, mRandom());
  node.mBackup =
    std::make_unique<charge_backup>(Identity(aProcess), mSettings, mRandom());
  Poll(aProcess);
}

void fleet_simulation::Poll(std::size_t aProcess)
{
  At(aProcess, 150, [this, aProcess] { Poll(aProcess); });
}

void fleet_simulation::End(std::size_t aProcess)
{
  process& node = mProcesses[aProcess];
  node.mAlive = false;
  CheckGranted(node);
  for (const auto& [id, state] : node.mAttempts) {
    // The caller of an unfinished response retries at a random node.
    if (!mRequests[state.mRequest].mDelivered && mFaults) {
      After(Random(0, 2000), [this, index = state.mRequest] {
        Try(Random(0, mProcesses.size() - 1), index, 0);
      });
    }
  }
  node.mAttempts.clear();
}

bool fleet_simulation::HasListedCopy(const process& aProcess,
                                     const holder_id& aHolder,
                                     const request_id& aRequest) const
{
  if (!aProcess.mBackup->Holds(aHolder, aRequest)) {
    return false;
  }
  const holder_id self = aProcess.mSystem->Self();
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

bool fleet_simulation::CanLose(std::size_t aProcess) const
{
  for (const caller_request& request : mRequests) {
    if (!request.mDelivered || mTable.HasCharge(request.mBudget, request.mId)) {
      continue;
    }
    bool copy = false;
    for (std::size_t i = 0; i < mProcesses.size(); ++i) {
      const process& node = mProcesses[i];
      if (i == aProcess || !node.mAlive) {
        continue;
      }
      copy = copy || node.mSystem->Keeps(request.mId);
      for (std::size_t j = 0; j < mProcesses.size(); ++j) {
        for (auto life = mProcesses[j].mIncarnation; life > 0; --life) {
          const holder_id holder{ Identity(j).mNode, life };
          copy = copy || HasListedCopy(node, holder, request.mId);
        }
      }
    }
    if (!copy) {
      return false;
    }
  }
  return true;
}

void fleet_simulation::Replace(std::size_t aProcess)
{
  process& node = mProcesses[aProcess];
  const bool ready = node.mSystem->IsDrained() && node.mBackup->IsDrained();
  if (ready && CanLose(aProcess) && !mStopping) {
    ++mCounts["replaced"];
    End(aProcess);
    Start(aProcess);
  }
}

void fleet_simulation::TickProcess(std::size_t aProcess)
{
  process& node = mProcesses[aProcess];
  const budget_output out = node.mSystem->Tick(mNow);
  Carry(aProcess, false, out);
  Carry(aProcess, true, node.mBackup->Tick(mNow));
  std::erase_if(node.mAttempts, [&](const auto& aEntry) {
    const attempt& state = aEntry.second;
    if (!state.mSettled || !node.mSystem->IsProtected(aEntry.first)) {
      return false;
    }
    ++mCounts["delivered"];
    mRequests[state.mRequest].mDelivered = true;
    return true;
  });
  if (node.mSystem->IsFenced() && !node.mLeaving) {
    ++mCounts["fenced"];
    node.mLeaving = true;
    node.mFinishes = Chance(50);
  }
  if (node.mSystem->IsClosed() ||
      (node.mSystem->IsFenced() && !node.mFinishes)) {
    CancelOpen(aProcess);
  }
  if (node.mLeaving && node.mSystem->IsDrained()) {
    node.mBackup->BeginShutdown();
    Replace(aProcess);
  }
}

template<class Reply>
void fleet_simulation::CallStore(
  std::size_t aProcess,
  std::function<Reply()> aEffect,
  std::function<void(result<Reply, table_error>)> aReply)
{
  const store_mode mode = mProcesses[aProcess].mStore;
  const bool slow = mode == store_mode::Slow;
  const std::int64_t delay = slow ? Random(300, 1500) : Random(1, 20);
  if (mode == store_mode::Down || (mFaults && Chance(2))) {
    const auto error = mode == store_mode::Down ? table_error::Unavailable
                                                : table_error::RateLimited;
    At(aProcess, delay, [aReply, error] { aReply(error); });
    return;
  }
  const bool lost = mode == store_mode::LosesReplies && Chance(60);
  if (lost) {
    ++mCounts["lost replies"];
    At(aProcess, 300, [aReply] { aReply(table_error::Timeout); });
    if (Chance(70)) {
      After(Random(1, 3000), [aEffect] { aEffect(); });
    }
    return;
  }
  const std::uint64_t life = mProcesses[aProcess].mIncarnation;
  After(delay, [=, this] {
    const Reply reply = aEffect();
    AtLife(aProcess, life, delay, [aReply, reply] { aReply(reply); });
  });
}

void fleet_simulation::Carry(std::size_t aProcess,
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
    Hold(aProcess, hold);
  }
  for (const drop_message& drop : aOut.mDrops) {
    const std::size_t to = Find(drop.mTo);
    if (to < mProcesses.size() && Linked(aProcess, to) && !Chance(10)) {
      At(to, Random(1, 20), [this, to, drop, from = system->Self()] {
        mProcesses[to].mBackup->OnDrop(from, drop.mRequests);
      });
    }
  }
}

void fleet_simulation::Hold(std::size_t aProcess, const hold_message& aMessage)
{
  const std::size_t to = Find(aMessage.mTo);
  const holder_id from = Identity(aProcess);
  if (to >= mProcesses.size() || !Linked(aProcess, to)) {
    return;
  }
  const std::int64_t delay = mFaults && Chance(5) ? 2000 : Random(1, 20);
  At(to, delay, [=, this] {
    const hold_outcome outcome =
      mProcesses[to].mBackup->OnHold(from, aMessage.mCharges, mNow);
    if (!Linked(aProcess, to) || (mFaults && Chance(5))) {
      return;
    }
    At(aProcess, Random(1, 20), [=, this] {
      if (Identity(aProcess) == from) {
        mProcesses[aProcess].mSystem->OnHoldReply(aMessage.mId, outcome, mNow);
      }
    });
  });
}

std::size_t fleet_simulation::Find(const holder_id& aHolder) const
{
  std::size_t index = 0;
  while (index < mProcesses.size() && Identity(index) != aHolder) {
    ++index;
  }
  return index;
}

holder_id fleet_simulation::Identity(std::size_t aProcess) const
{
  return { { "n" + std::to_string(aProcess) },
           mProcesses[aProcess].mIncarnation };
}

bool fleet_simulation::Linked(std::size_t aOne, std::size_t aOther) const
{
  return mCut.count(std::minmax(aOne, aOther)) == 0;
}

void fleet_simulation::Members()
{
  After(400, [this] { Members(); });
  for (std::size_t i = 0; i < mProcesses.size(); ++i) {
    process& node = mProcesses[i];
    if (!node.mAlive || node.mPaused) {
      continue;
    }
    std::vector<holder_id> peers;
    for (std::size_t k = 1; k < mProcesses.size(); ++k) {
      const std::size_t j = (i + k) % mProcesses.size();
      const process& peer = mProcesses[j];
      const holder_id id = Identity(j);
      if (peer.mAlive && !peer.mPaused && Linked(i, j)) {
        node.mSeen[id] = mNow;
        if (!peer.mLeaving && node.mDead.count(id) == 0) {
          peers.push_back(id);
        }
      }
      for (const auto& [seen, at] : node.mSeen) {
        const bool older =
          seen.mNode == id.mNode && seen < id && node.mSeen.count(id) > 0;
        if ((older || mNow - at > seconds(5)) &&
            node.mDead.insert(seen).second) {
          ++mCounts["dead verdicts"];
          node.mSystem->OnHolderDead(seen, mNow);
          node.mBackup->OnHolderDead(seen, mNow);
        }
      }
    }
    node.mSystem->SetBackups(peers);
    if (Chance(mFaults ? 10 : 50)) {
      Sweep(i);
    }
  }
}

void fleet_simulation::Sweep(std::size_t aProcess)
{
  process& node = mProcesses[aProcess];
  if (node.mStore != store_mode::Up) {
    return;
  }
  for (const table_row& row : mTable.Scan({ "holder/", "", 1000 })) {
    const auto holder = ParseHolderKey(row.mKey);
    for (const auto& [seen, at] : node.mSeen) {
      // Repeated, because a death reported before the row was written, or
      // before this backup was listed in it, has no effect.
      if (seen.mNode == holder->mNode && *holder < seen) {
        node.mDead.insert(*holder);
        node.mSystem->OnHolderDead(*holder, mNow);
        node.mBackup->OnHolderDead(*holder, mNow);
      }
    }
  }
}
