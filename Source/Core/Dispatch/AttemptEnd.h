#pragma once

#include "Dispatch/DispatchTables.h"

/// Handles the end of an attempt: completion, retry or rejection of its
/// request, and the treatment of contents that are suspected of crashing
/// upstreams.

/// Ends the running attempt of a request. The request is then completed, queued
/// for a retry, or rejected; `aEntry` may be gone afterwards.
void EndAttempt(dispatch_tables& aTables,
                request_entry& aEntry,
                attempt_outcome aOutcome,
                time_point aNow);

/// Queues a request whose content is suspect for a retry in isolation. Rejects
/// it when another request with the same content is already queued for such a
/// retry or running.
void RetrySuspect(dispatch_tables& aTables,
                  request_entry& aEntry,
                  time_point aNow);

/// Cancels the running attempts of a content that became suspect, since they
/// could crash more upstreams. Does nothing when this node itself retries the
/// content in isolation.
void CancelSuspectAttempts(dispatch_tables& aTables,
                           const content_id& aContent,
                           time_point aNow);

/// Rejects the waiting requests of a quarantined content, and cancels and
/// rejects the running ones.
void RejectQuarantinedContent(dispatch_tables& aTables,
                              const content_id& aContent,
                              time_point aNow);
