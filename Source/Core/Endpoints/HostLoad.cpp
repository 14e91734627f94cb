#include "Endpoints/HostLoad.h"

#include <algorithm>

#include "Common/Hash.h"

namespace {

using std::chrono::milliseconds;

// Use at which a host leaves the answers, and below which it may come back. At
// 0.75 the link is overloaded (`link_overload_detector`).
constexpr double kLeaveLinkUse = 0.6;
constexpr double kReturnLinkUse = 0.4;
// A process that uses its whole processor share delays every response.
constexpr double kLeaveProcessorUse = 0.8;
constexpr double kReturnProcessorUse = 0.55;
// Requests are refused when the memory for held bytes is full.
constexpr double kLeaveMemoryUse = 0.7;
constexpr double kReturnMemoryUse = 0.4;
// Weight of the newest sample of processor use, five a second.
constexpr double kProcessorGain = 0.25;
// Shortest absence: clients that keep an answer for 3 s have left by then.
constexpr milliseconds kMinAbsence(3000);
// Hosts that left together come back spread over this time.
constexpr std::uint64_t kReturnSpreadMs = 2000;

} // namespace

host_load::host_load(const std::string& aAddress)
  : mSpread(StableHash(aAddress) % kReturnSpreadMs)
{
}

void host_load::Update(const host_measurement& aMeasurement, time_point aNow)
{
  mLinkUse = aMeasurement.mLinkUse;
  if (!aMeasurement.mProcessorUse) {
    mProcessorUse.reset();
  } else {
    const double before = mProcessorUse.value_or(0.0);
    mProcessorUse =
      before + kProcessorGain * (*aMeasurement.mProcessorUse - before);
  }
  const double link = mLinkUse.value_or(0.0);
  const double processor = mProcessorUse.value_or(0.0);
  const double memory = aMeasurement.mMemoryUse.value_or(0.0);
  const char* cause = link > kLeaveLinkUse             ? "link"
                      : processor > kLeaveProcessorUse ? "processor"
                      : memory > kLeaveMemoryUse       ? "memory"
                      : !aMeasurement.mHeardByPeers    ? "peers"
                                                       : nullptr;
  if (cause != nullptr) {
    if (!mLeft) {
      mCause = cause;
    }
    mLeft = true;
    mReturnsAt = aNow + kMinAbsence + mSpread;
  } else if (mLeft && aNow >= mReturnsAt && link < kReturnLinkUse &&
             processor < kReturnProcessorUse && memory < kReturnMemoryUse) {
    mLeft = false;
    mCause.clear();
  }
}
