// Lifecycle of a node: phases, planned stop and the change to a new
// incarnation after fencing.

#include "Node/NodeApp.h"

#include <algorithm>
#include <utility>

#include "Common/Log.h"
#include "Node/AdminApi.h"
#include "Node/NodeSetup.h"

namespace {

// Responses that are still open after this time of draining are aborted.
constexpr std::chrono::minutes kDrainLimit(15);

} // namespace

std::string_view NodePhaseName(node_phase aPhase)
{
  switch (aPhase) {
    case node_phase::Starting:
      return "starting";
    case node_phase::Serving:
      return "serving";
    case node_phase::Leaving:
      return "leaving";
    case node_phase::Draining:
      return "draining";
    case node_phase::Stopped:
      return "stopped";
  }
  return "unknown";
}

void node_app::Stop()
{
  if (mPhase == node_phase::Stopped) {
    return;
  }
  if (mPhase == node_phase::Leaving || mPhase == node_phase::Draining) {
    ForceStop();
    return;
  }
  const time_point now = mTime.Now();
  mMembership->BeginLeaving(now);
  mLeaveUntil = now + mSettings.mTiming.mEndpointCache;
  mDrainDeadline = mLeaveUntil + kDrainLimit;
  SetPhase(node_phase::Leaving);
}

void node_app::TickShutdown(time_point aNow)
{
  if (mPhase == node_phase::Leaving && aNow >= mLeaveUntil) {
    mChat->BeginShutdown();
    mServices->BeginShutdown();
    SetPhase(node_phase::Draining);
  }
  if (mPhase != node_phase::Draining) {
    return;
  }
  if (aNow >= mDrainDeadline) {
    ForceStop();
    return;
  }
  if (!WorkFinished()) {
    return;
  }
  mReturningGrants = true;
  mBudget->BeginShutdown(aNow);
  mBackup->BeginShutdown();
  if (mBudget->IsDrained() && mBackup->IsDrained()) {
    SetPhase(node_phase::Stopped);
    mOnStopped();
  }
}

bool node_app::WorkFinished() const
{
  return mChat->Open() == 0 && mServices->Open() == 0 && mCalls->Open() == 0;
}

/// Aborts the open requests, logs their number and stops at once.
void node_app::ForceStop()
{
  const std::size_t calls = mServices->Open();
  const std::size_t cut = mChat->CutAll();
  Log(log_level::Warning,
      "stop_forced",
      { Field("node", mSettings.mName.mName),
        Field("requests_cut", cut),
        Field("service_calls_cut", calls),
        Field("budget_drained", mBudget->IsDrained()) });
  SetPhase(node_phase::Stopped);
  mOnStopped();
}

void node_app::SetPhase(node_phase aPhase)
{
  mPhase = aPhase;
  Log(log_level::Info,
      "node_phase",
      { Field("node", mSettings.mName.mName),
        Field("phase", NodePhaseName(aPhase)) });
}

/// Checks whether other nodes fenced this node's holder because they consider
/// this run dead. While the holder row is closing, open requests finish and are
/// charged. Once it is closed, the grants are lost and the remaining requests
/// are aborted. The node then continues with a new incarnation.
void node_app::TickHolder()
{
  // A holder that shuts down by itself also becomes closed.
  if (mReturningGrants) {
    return;
  }
  if (mBudget->IsClosed()) {
    ReplaceHolder(mChat->CutAll());
  } else if (mBudget->IsFenced() && mBudget->IsDrained()) {
    ReplaceHolder(0);
  }
}

void node_app::ReplaceHolder(std::size_t aCut)
{
  Log(log_level::Warning,
      "holder_fenced",
      { Field("node", mSettings.mName.mName),
        Field("incarnation", mIncarnation),
        Field("requests_cut", aCut) });
  mMetrics.Count("holder_fenced_total",
                 "Times that others closed this node's holder row.");
  mBackup->BeginShutdown();
  mRetiredBackups.push_back(mBackup);
  mIncarnation = std::max(mIncarnation + 1, NewIncarnation(mTime));
  CreateHolder();
  mChat->ReplaceBudget(*mBudget);
  mMembership->SetConfigVersion(mAppliedVersion);
  mWatch->Refresh();
}

void node_app::TakeForDead(const holder_id& aRun)
{
  const time_point now = mTime.Now();
  mBudget->OnHolderDead(aRun, now);
  mBackup->OnHolderDead(aRun, now);
}

/// Stops this run because a newer run with the same node name exists. Two runs
/// would announce conflicting addresses.
void node_app::EndReplaced(const holder_id& aRun)
{
  Log(log_level::Error,
      "node_replaced",
      { Field("node", mSettings.mName.mName),
        Field("incarnation", aRun.mIncarnation) });
  ForceStop();
}
