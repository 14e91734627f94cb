#include "Budget/BudgetOperations.h"
#include "Common/Hash.h"
#include "FleetSimulation.h"

namespace {

using std::chrono::seconds;

const account_id kAccount{ "clinic" };
constexpr int kMaxTries = 20;

} // namespace

void fleet_simulation::NewRequest()
{
  caller_request request;
  request.mId = MakeRequestId(kAccount, std::to_string(mRequests.size()));
  request.mBudget = mBudgets[Random(0, mBudgets.size() - 1)];
  request.mTokens = Random(1, 200);
  mRequests.push_back(request);
  const std::size_t index = mRequests.size() - 1;
  TryReserve(Random(0, mProcesses.size() - 1), index, 0);
  if (Chance(15)) {
    // Sends the same request to a random node, immediately or up to 5 s later.
    RunAfter(Chance(50) ? 0 : Random(1, 5000), [this, index] {
      ++mCounts["duplicates"];
      TryReserve(Random(0, mProcesses.size() - 1), index, 0);
    });
  }
}

void fleet_simulation::TryReserve(std::size_t aProcess,
                                  std::size_t aRequest,
                                  int aTries)
{
  RunInProcess(aProcess, 0, [=, this] {
    process& node = mProcesses[aProcess];
    const caller_request& request = mRequests[aRequest];
    if (node.mLeaving && aTries == 0) {
      return;
    }
    const auto reserved = node.mSystem->Reserve(
      request.mId, kAccount, request.mBudget, request.mTokens, mNow);
    if (reserved.has_value()) {
      mRequests[aRequest].mReserved = true;
      node.mAttempts[request.mId] = { aRequest, aTries, true, false };
      RunInProcess(aProcess, Random(20, 2500), [=, this, id = request.mId] {
        FinishRequest(aProcess, id);
      });
      return;
    }
    ++mCounts[std::string(BudgetErrorName(reserved.error()))];
    if (reserved.error() == budget_error::AwaitingGrant && aTries < kMaxTries) {
      RunInProcess(aProcess, 250, [=, this] {
        TryReserve(aProcess, aRequest, aTries + 1);
      });
    }
  });
}

void fleet_simulation::FinishRequest(std::size_t aProcess,
                                     const request_id& aRequest)
{
  process& node = mProcesses[aProcess];
  const auto found = node.mAttempts.find(aRequest);
  if (found == node.mAttempts.end() || !found->second.mOpen) {
    return;
  }
  found->second.mOpen = false;
  if (Chance(8)) {
    node.mSystem->Release(aRequest, mNow);
    node.mAttempts.erase(found);
    return;
  }
  const std::int64_t tokens = mRequests[found->second.mRequest].mTokens;
  const std::int64_t used = Chance(5)   ? -1
                            : Chance(5) ? 0
                                        : Random(1, tokens + tokens / 5);
  // The nodes' clocks differ by up to 2 s.
  const wall_time at(mNow.time_since_epoch() + seconds(aProcess % 3));
  node.mSystem->Settle(aRequest, used, at, mNow);
  mRequests[found->second.mRequest].mPossibleCharges.insert(
    used < 0 ? tokens : std::min(used, tokens));
  found->second.mSettled = true;
}

void fleet_simulation::CancelOpen(std::size_t aProcess)
{
  process& node = mProcesses[aProcess];
  std::vector<request_id> open;
  for (const auto& [id, state] : node.mAttempts) {
    if (state.mOpen) {
      open.push_back(id);
    }
  }
  for (const request_id& id : open) {
    FinishRequest(aProcess, id);
  }
}

void fleet_simulation::TopUp()
{
  const budget_id& budget = mBudgets[Random(0, mBudgets.size() - 1)];
  const auto changed = TopUpBudget(budget,
                                   mTable.Row(BudgetKey(budget)),
                                   Random(1, 2000),
                                   { mRandom(), mRandom() });
  mTable.Commit(changed.value());
}

void fleet_simulation::InjectFault()
{
  const std::size_t one = Random(0, mProcesses.size() - 1);
  const std::size_t other = Random(0, mProcesses.size() - 1);
  process& node = mProcesses[one];
  const std::int64_t length =
    Chance(30) ? Random(5000, 12'000) : Random(100, 4000);
  const std::int64_t kind = Random(0, 9);
  if (kind <= 2 && node.mAlive && CanFailSafely(one)) {
    ++mCounts["deaths"];
    Terminate(one);
    RunAfter(length, [this, one] {
      if (!mProcesses[one].mAlive) {
        Start(one);
      }
    });
  } else if (kind == 3 && node.mAlive && !node.mPaused) {
    ++mCounts["pauses"];
    node.mPaused = true;
    RunAfter(length, [this, one, incarnation = node.mIncarnation] {
      process& paused = mProcesses[one];
      if (!paused.mAlive || paused.mIncarnation != incarnation ||
          !paused.mPaused) {
        return;
      }
      paused.mPaused = false;
      for (step& delayed : std::exchange(paused.mInbox, {})) {
        RunInProcess(one, Random(0, 5), std::move(delayed));
      }
    });
  } else if (kind <= 5 && one != other) {
    ++mCounts["cuts"];
    const std::pair<std::size_t, std::size_t> link = std::minmax(one, other);
    mCutLinks.insert(link);
    RunAfter(length, [this, link] { mCutLinks.erase(link); });
  } else if (kind <= 7) {
    const auto mode = static_cast<store_mode>(Random(1, 3));
    const bool everyone = Chance(30);
    ++mCounts["store faults"];
    for (std::size_t i = 0; i < mProcesses.size(); ++i) {
      if (everyone || i == one) {
        mProcesses[i].mStoreMode = mode;
        RunAfter(length,
                 [this, i] { mProcesses[i].mStoreMode = store_mode::Up; });
      }
    }
  } else if (kind == 8) {
    ++mCounts["top-ups"];
    TopUp();
  } else if (node.mAlive && !node.mPaused) {
    ++mCounts["planned stops"];
    node.mLeaving = true;
    node.mSystem->BeginShutdown(mNow);
  }
}

void fleet_simulation::Heal()
{
  mInjectFaults = false;
  mCutLinks.clear();
  for (std::size_t i = 0; i < mProcesses.size(); ++i) {
    process& node = mProcesses[i];
    node.mStoreMode = store_mode::Up;
    if (!node.mAlive) {
      Start(i);
    }
    node.mPaused = false;
    for (step& delayed : std::exchange(node.mInbox, {})) {
      RunInProcess(i, Random(0, 5), std::move(delayed));
    }
  }
  RunAfter(15'000, [this] {
    for (const process& node : mProcesses) {
      if (node.mLeaving && !node.mSystem->IsDrained()) {
        AddViolation("a stopping node is not drained");
      }
    }
  });
}

void fleet_simulation::WriteOffStranded()
{
  for (const table_row& row : mTable.Scan({ "holder/", "", 10'000 })) {
    const auto holder = ParseIncarnation(row.mKey.substr(7));
    if (IndexOf(*holder) < mProcesses.size()) {
      continue;
    }
    const holder_row state = ParseHolderRow(row.mValue).value();
    bool lost = false;
    for (const incarnation_id& backup : state.mBackups) {
      lost = lost || (IndexOf(backup) == mProcesses.size() &&
                      state.mSealed.count(backup) == 0);
    }
    if (!lost) {
      AddViolation("a dead holder was not reclaimed: " + row.mKey + row.mValue);
    }
    ++mCounts["write-offs"];
    mTable.Commit(
      WriteOffHolder(*holder, row, { mRandom(), mRandom() }).value());
    std::vector<std::string> keys;
    for (const table_row& grant :
         mTable.Scan({ GrantPrefix(*holder), "", 1000 })) {
      const std::size_t prefix = GrantPrefix(*holder).size();
      keys.push_back(BudgetKey({ grant.mKey.substr(prefix) }));
    }
    mTable.Commit(ReturnGrants(*holder,
                               mTable.Row(row.mKey).mVersion,
                               mTable.Read(keys),
                               { mRandom(), mRandom() })
                    .mTransaction);
  }
}

void fleet_simulation::CheckFundsUsable()
{
  for (std::size_t i = 0; i < mBudgets.size(); ++i) {
    const auto parsed =
      ParseBudgetRow(mTable.Row(BudgetKey(mBudgets[i])).mValue);
    if (!parsed.has_value()) {
      continue;
    }
    const budget_row& row = parsed.value();
    caller_request request;
    request.mId = MakeRequestId({ "last" }, std::to_string(i));
    request.mBudget = mBudgets[i];
    request.mTokens = row.mTotal - row.mSpent;
    if (request.mTokens == 0) {
      continue;
    }
    mRequests.push_back(request);
    // A node that was declared dead by mistake notices it with its next
    // transaction, so the caller makes up to three attempts.
    for (int tries = 0; tries < 3 && !mRequests.back().mReserved; ++tries) {
      TryReserve(tries % mProcesses.size(), mRequests.size() - 1, 0);
      RunUntil(mNow + seconds(6));
    }
    if (!mRequests.back().mReserved) {
      AddViolation(
        "the remaining tokens of " + mBudgets[i].mName +
        " cannot be used: " + mTable.Row(BudgetKey(mBudgets[i])).mValue);
    }
  }
}

void fleet_simulation::CheckGranted(const process& aProcess)
{
  // Only a written-off holder may be charged above its grant, and here no
  // charge of a written-off holder is left: its backups are dead as well.
  const auto& held = aProcess.mBackup->Counters();
  const auto& own = aProcess.mSystem->Counters();
  if (own.mUngrantedCharges + held.mUngrantedCharges > 0) {
    AddViolation("a charge was not covered by its holder's grant");
  }
}

void fleet_simulation::CheckEnd()
{
  for (const std::string& violation : mTable.Violations()) {
    AddViolation(violation);
  }
  for (const process& node : mProcesses) {
    CheckGranted(node);
    if (!node.mSystem->IsDrained()) {
      AddViolation("a node is not drained after shutdown");
    }
  }
  for (const caller_request& request : mRequests) {
    const std::int64_t tokens = mTable.Charged(request.mBudget, request.mId);
    if (request.mDelivered && tokens < 0) {
      AddViolation("a delivered response is not charged");
    }
    if (tokens >= 0 && request.mPossibleCharges.count(tokens) == 0) {
      AddViolation("a charge differs from what any attempt used");
    }
  }
  for (const budget_id& budget : mBudgets) {
    const table_row row = mTable.Row(BudgetKey(budget));
    const auto segments = mTable.Scan({ SegmentPrefix(budget), "", 100'000 });
    const reconcile_report report = Reconcile(budget, row, segments);
    if (!report.IsClean() || report.mOutstanding != 0) {
      AddViolation("budget is not settled: " + row.mValue);
    }
  }
  if (!mTable.Scan({ "grant/", "", 10 }).empty()) {
    AddViolation("a grant index row is left");
  }
}

void fleet_simulation::AddViolation(const std::string& aWhat)
{
  mViolations.push_back(aWhat);
}
