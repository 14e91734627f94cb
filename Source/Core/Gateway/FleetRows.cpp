#include "Gateway/FleetRows.h"

#include <utility>

namespace {

using std::chrono::milliseconds;

// Delay between attempts to write this node's row.
constexpr milliseconds kRegistrationRetryDelay(500);

constexpr std::string_view kNodePrefix = "node/";

} // namespace

fleet_rows::fleet_rows(fleet_view& aFleet,
                       crash_exchange& aCrashes,
                       row_store& aStore,
                       const time_source& aTime,
                       std::string aRun)
  : mFleet(aFleet)
  , mCrashes(aCrashes)
  , mStore(aStore)
  , mTime(aTime)
  , mRun(std::move(aRun))
{
}

fleet_rows::~fleet_rows()
{
  *mAlive = false;
}

void fleet_rows::Apply(const stored_row& aRow)
{
  const std::string_view key = aRow.mKey.mKey;
  if (key.starts_with(kNodePrefix)) {
    mFleet.AddCandidate(std::string(key.substr(kNodePrefix.size())));
  } else if (key.starts_with(crash_exchange::kRowPrefix) ||
             key.starts_with(crash_exchange::kSegmentRowPrefix)) {
    mCrashes.ApplyRow(key, aRow.mValue);
  }
}

void fleet_rows::OnMaintenanceTick(time_point aNow)
{
  if (mRegistered || mRegistering || aNow < mNextRegistrationAt) {
    return;
  }
  mRegistering = true;
  row_transaction transaction;
  transaction.mWrites.push_back(
    { { kFleetTableName,
        "",
        std::string(kNodePrefix) + mFleet.Self().mAddress },
      mRun });
  mStore.Commit(transaction, [this, alive = mAlive](auto aResult) {
    if (!*alive) {
      return;
    }
    mRegistering = false;
    mRegistered = aResult.has_value() && aResult.value().mCommitted;
    mNextRegistrationAt = mTime.Now() + kRegistrationRetryDelay;
  });
}
