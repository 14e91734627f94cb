#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Common/Identity.h"
#include "Common/Time.h"
#include "Membership/MemberTable.h"
#include "Remote/TableService.h"

/// Finds holder rows whose holder is gone. Membership reports a death once,
/// but the verdict may come before the holder's row names this node as a
/// backup, and a run that died before anyone heard of it is never reported.
class holder_sweep
{
public:
  using verdict = std::function<void(const holder_id&)>;

  holder_sweep(table_service& aTable,
               const time_source& aTime,
               verdict aOnGone);

  /// Scans a page when one is due.
  void Tick(time_point aNow);
  void SetMembers(const std::vector<member>& aMembers);

private:
  void TakePage(const std::vector<table_row>& aRows);
  bool IsGone(const holder_id& aHolder, time_point aNow);

  table_service& mTable;
  const time_source& mTime;
  verdict mOnGone;
  std::map<node_id, member> mMembers;
  /// When a holder of an unknown node counts as gone.
  std::map<holder_id, time_point> mGoneAt;
  std::string mAfter;
  bool mWaiting = false;
  time_point mNext{};
};
