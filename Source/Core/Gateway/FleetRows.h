#pragma once

#include <memory>
#include <string>

#include "Common/Time.h"
#include "Gateway/CrashHistory.h"
#include "Gateway/FleetView.h"
#include "Gateway/GatewayMetrics.h"
#include "Remote/RowStore.h"

/// Store rows that nodes write for each other: node addresses and requests that
/// crashed servers.
class fleet_rows
{
public:
  static constexpr const char* kFleetTableName = "lentilswitch";

  /// `aRun` identifies this run of the process.
  fleet_rows(fleet_view& aFleet,
             crash_history& aCrashes,
             gateway_metrics& aMetrics,
             row_store& aStore,
             const time_source& aTime,
             std::string aRun);
  ~fleet_rows();
  fleet_rows(const fleet_rows&) = delete;
  fleet_rows& operator=(const fleet_rows&) = delete;

  /// Applies a row of the table.
  void Apply(const stored_row& aRow);
  /// Reports to the other nodes that a server broke while it ran a request.
  void WriteCrash(const content_id& aRequest, const server_run& aServer);
  /// Writes this node's row until the store has it, and resets the number of
  /// crash rows that may be written in one interval.
  void OnMaintenanceTick(time_point aNow);

private:
  void Register(time_point aNow);
  void LogCrash(const char* aSource,
                const content_id& aRequest,
                const server_run& aServer,
                time_point aNow);

  fleet_view& mFleet;
  crash_history& mCrashes;
  gateway_metrics& mMetrics;
  row_store& mStore;
  const time_source& mTime;
  std::string mRun;
  bool mRegistered = false;
  bool mRegistering = false;
  time_point mNextRegistrationAt;
  unsigned mCrashRowsLeft = 0;
  /// Set to false by the destructor; replies that arrive later are ignored.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};
