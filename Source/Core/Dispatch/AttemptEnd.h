#pragma once

#include "Dispatch/DispatchTables.h"

/// What follows from the end of an attempt: completion, retry or rejection.

/// Ends the running attempt of a request.
void EndAttempt(dispatch_tables& aTables,
                request_entry& aEntry,
                attempt_outcome aOutcome,
                time_point aNow);

/// Queues a request with a suspect content for a try in isolation, or rejects
/// it when the same content is already being tried.
void RetrySuspect(dispatch_tables& aTables,
                  request_entry& aEntry,
                  time_point aNow);

/// Cancels running attempts with a content that became suspect, but for a try
/// in isolation by this node. More of them could crash more upstreams.
void StopCopies(dispatch_tables& aTables,
                const content_id& aContent,
                time_point aNow);

/// Rejects the waiting requests of a quarantined content and cancels the
/// running ones.
void StopContent(dispatch_tables& aTables,
                 const content_id& aContent,
                 time_point aNow);
