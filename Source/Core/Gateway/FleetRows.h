#pragma once

#include <memory>
#include <string>

#include "Common/Time.h"
#include "Gateway/CrashExchange.h"
#include "Gateway/FleetView.h"
#include "Remote/RowStore.h"

/// Store rows that nodes write for each other: node addresses and requests that
/// crashed servers.
class fleet_rows
{
public:
  static constexpr const char* kFleetTableName = "lentilswitch";

  /// `aRegion` is the node's region, which its row states for the others;
  /// `aRun` identifies this run of the process.
  fleet_rows(fleet_view& aFleet,
             crash_exchange& aCrashes,
             row_store& aStore,
             const time_source& aTime,
             region_id aRegion,
             std::string aRun);
  ~fleet_rows();
  fleet_rows(const fleet_rows&) = delete;
  fleet_rows& operator=(const fleet_rows&) = delete;

  /// Applies a row of the table.
  void Apply(const stored_row& aRow);
  /// Writes this node's row until the store has it.
  void OnMaintenanceTick(time_point aNow);

private:
  fleet_view& mFleet;
  crash_exchange& mCrashes;
  row_store& mStore;
  const time_source& mTime;
  region_id mRegion;
  std::string mRun;
  bool mRegistered = false;
  /// Era of the store in which the row was written last.
  std::uint64_t mRegisteredInEra = 0;
  bool mRegistering = false;
  time_point mNextRegistrationAt;
  /// Set to false by the destructor; replies that arrive later are ignored.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};
