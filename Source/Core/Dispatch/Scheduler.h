#pragma once

#include "Dispatch/DispatchTables.h"

/// Runs one scheduling pass: rejects requests past their latest start, starts
/// requests for which an upstream has capacity, and cancels free-tier requests
/// in favour of waiting paid ones. Decisions are added to the tables' output.
void RunScheduler(dispatch_tables& aTables, time_point aNow);
