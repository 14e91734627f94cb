#include "Gateway/FleetRows.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "Common/JsonText.h"
#include "Common/Log.h"
#include "Net/TcpStream.h"

namespace {

using std::chrono::milliseconds;

// Delay between attempts to write this node's row.
constexpr milliseconds kRegistrationRetryDelay(500);

constexpr std::string_view kNodePrefix = "node/";

/// Region of the node that wrote the value; nodes of an earlier version write
/// their run alone.
std::optional<region_id> ReadRegion(std::string_view aValue)
{
  const auto value = ParseBoundedJson(aValue);
  if (!value || !value->is_object()) {
    return std::nullopt;
  }
  const auto region = value->find("region");
  if (region == value->end() || !region->is_string()) {
    return std::nullopt;
  }
  return region_id{ region->get<std::string>() };
}

} // namespace

fleet_rows::fleet_rows(fleet_view& aFleet,
                       crash_exchange& aCrashes,
                       row_store& aStore,
                       const time_source& aTime,
                       region_id aRegion,
                       std::string aRun)
  : mFleet(aFleet)
  , mCrashes(aCrashes)
  , mStore(aStore)
  , mTime(aTime)
  , mRegion(std::move(aRegion))
  , mRun(std::move(aRun))
{
}

fleet_rows::~fleet_rows()
{
  *mAlive = false;
}

void fleet_rows::Apply(const stored_row& aRow)
{
  if (!aRow.mKey.mPartition.empty()) {
    return;
  }
  const std::string_view key = aRow.mKey.mKey;
  if (key.starts_with(kNodePrefix)) {
    const std::string address(key.substr(kNodePrefix.size()));
    const auto peer = ParseTcpAddress(address);
    if (!peer || peer->mPort == 0) {
      Log(log_level::Info, "fleet_row_unusable", { Field("key", key) });
      return;
    }
    mFleet.AddCandidate(address);
    if (auto region = ReadRegion(aRow.mValue)) {
      mFleet.SetRegion(address, *region);
    }
  } else if (key.starts_with(crash_exchange::kRowPrefix) ||
             key.starts_with(crash_exchange::kSegmentRowPrefix)) {
    mCrashes.ApplyRow(key, aRow.mValue);
  }
}

void fleet_rows::OnMaintenanceTick(time_point aNow)
{
  if (mStore.Era() > mRegisteredInEra && mRegistered) {
    // The store came back from a copy, which may lack the row.
    mRegistered = false;
  }
  if (mRegistered || mRegistering || aNow < mNextRegistrationAt) {
    return;
  }
  mRegistering = true;
  row_transaction transaction;
  transaction.mWrites.push_back(
    { { kFleetTableName,
        "",
        std::string(kNodePrefix) + mFleet.Self().mAddress },
      nlohmann::json{ { "run", mRun }, { "region", mRegion.mName } }.dump() });
  mStore.Commit(transaction, [this, alive = mAlive](auto aResult) {
    if (!*alive) {
      return;
    }
    mRegistering = false;
    mRegisteredInEra = mStore.Era();
    mRegistered = aResult.has_value() && aResult.value().mCommitted;
    mNextRegistrationAt = mTime.Now() + kRegistrationRetryDelay;
  });
}
