#pragma once

#include "Dispatch/DispatchTables.h"

/// One pass over the waiting requests: rejects what is too late, starts what
/// has room, and makes room for paid work. Decisions go to the tables' output.
void RunScheduler(dispatch_tables& aTables, time_point aNow);
