#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Common/Identity.h"
#include "Common/Time.h"
#include "Membership/MemberTable.h"
#include "Remote/TableService.h"

/// Periodically scans the holder rows for holders that no longer run.
/// Membership events alone are not enough: a death is reported once, possibly
/// before the holder's row lists this node as a backup, and a run that died
/// before any member heard of it is never reported.
class holder_sweep
{
public:
  using gone_callback = std::function<void(const incarnation_id&)>;

  holder_sweep(table_service& aTable,
               const time_source& aTime,
               gone_callback aOnHolderGone);

  /// Scans the next page of holder rows when the scan interval has passed.
  void Tick(time_point aNow);
  void SetMembers(const std::vector<member>& aMembers);

private:
  void HandlePage(const std::vector<table_row>& aRows);
  bool IsGone(const incarnation_id& aHolder, time_point aNow);

  table_service& mTable;
  const time_source& mTime;
  gone_callback mOnHolderGone;
  std::map<node_id, member> mMembers;
  /// End of the grace period of each holder whose node is not a known member.
  std::map<incarnation_id, time_point> mGraceDeadlines;
  std::string mScanCursor;
  bool mScanPending = false;
  time_point mNextScan{};
};
