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
constexpr std::chrono::minutes kDrainTimeout(15);

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
  mLeavingDeadline = now + mSettings.mTiming.mEndpointCacheTtl;
  mDrainDeadline = mLeavingDeadline + kDrainTimeout;
  SetPhase(node_phase::Leaving);
}

void node_app::TickShutdown(time_point aNow)
{
  if (mPhase == node_phase::Leaving && aNow >= mLeavingDeadline) {
    mChat->BeginShutdown();
    mServiceProxy->BeginShutdown();
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
  return mChat->Open() == 0 && mServiceProxy->Open() == 0 &&
         mServiceCalls->Open() == 0;
}

/// Aborts the open requests, logs their number and stops at once.
void node_app::ForceStop()
{
  const std::size_t calls = mServiceProxy->Open();
  const std::size_t aborted = mChat->AbortAll();
  Log(log_level::Warning,
      "stop_forced",
      { Field("node", mSettings.mName.mName),
        Field("requests_cut", aborted),
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
void node_app::CheckHolderFenced()
{
  // A holder that shuts down by itself also becomes closed.
  if (mReturningGrants) {
    return;
  }
  if (mBudget->IsHolderClosed()) {
    StartNewIncarnation(mChat->AbortAll());
  } else if (mBudget->IsFenced() && mBudget->IsDrained()) {
    StartNewIncarnation(0);
  }
}

void node_app::StartNewIncarnation(std::size_t aAborted)
{
  Log(log_level::Warning,
      "holder_fenced",
      { Field("node", mSettings.mName.mName),
        Field("incarnation", mIncarnation),
        Field("requests_cut", aAborted) });
  mMetrics.Count("holder_fenced_total",
                 "Times that others closed this node's holder row.");
  mBackup->BeginShutdown();
  mRetiredBackups.push_back(mBackup);
  mIncarnation = std::max(mIncarnation + 1, NewIncarnation(mTime));
  CreateIncarnationSystems();
  mChat->ReplaceBudget(*mBudget);
  mMembership->SetConfigVersion(mAppliedVersion);
  mUpstreamWatch->Refresh();
}

void node_app::HandleDeadRun(const incarnation_id& aRun)
{
  const time_point now = mTime.Now();
  mBudget->OnHolderDead(aRun, now);
  mBackup->OnHolderDead(aRun, now);
}

/// Stops this run because a newer run with the same node name exists. Two runs
/// would announce conflicting addresses.
void node_app::StopReplacedRun(const incarnation_id& aRun)
{
  Log(log_level::Error,
      "node_replaced",
      { Field("node", mSettings.mName.mName),
        Field("incarnation", aRun.mIncarnation) });
  ForceStop();
}
