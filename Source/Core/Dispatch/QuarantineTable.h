#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Common/Identity.h"
#include "Common/Time.h"
#include "Dispatch/DispatchSettings.h"
#include "Dispatch/DispatchTypes.h"

/// Whether a request with the content may be sent.
enum class content_verdict : std::uint8_t
{
  Clear,
  /// It may be retried on an upstream where no other suspect runs.
  Suspect,
  /// Another node is retrying it in isolation.
  RetriedElsewhere,
  Quarantined,
};

struct content_check
{
  content_verdict mVerdict = content_verdict::Clear;
  /// Earliest retry of a suspect; for `RetriedElsewhere` and `Quarantined` the
  /// time until which requests are rejected.
  time_point mUntil;
};

/// Contents that were in flight on upstreams that crashed, as observed by this
/// node or reported in other nodes' notices. The first crash makes every
/// content in flight a suspect. A later crash is attributed only to the
/// suspects that were in flight.
class quarantine_table
{
public:
  explicit quarantine_table(const node_id& aNode)
    : mNode(aNode)
  {
  }

  void ApplySettings(const node_id& aNode,
                     const quarantine_settings& aSettings);

  content_check Check(const content_id& aContent, time_point aNow) const;

  /// Records that an upstream crashed with these contents of this node in
  /// flight. Further reports of the same crash are ignored.
  void OnCrash(const upstream_id& aUpstream,
               const std::vector<content_id>& aInFlight,
               time_point aNow);

  /// Claims the retry of a suspect for this node. Returns the earliest start.
  time_point BeginRetry(const content_id& aContent, time_point aNow);
  /// Releases this node's claim on the retry of a suspect.
  void EndRetry(const content_id& aContent);

  /// Whether this node holds the claim on the retry of a suspect.
  bool IsRetrying(const content_id& aContent, time_point aNow) const;

  /// Clears a suspect whose request completed.
  void OnCompleted(const content_id& aContent);

  void OnNotice(const quarantine_notice& aNotice, time_point aNow);

  /// Suspects that are being retried by any node and come before the content in
  /// the retry order. Every node computes the same order.
  std::vector<content_id> RetriesBefore(const content_id& aContent,
                                        time_point aNow) const;

  /// Returns notices about the changes since the last call.
  std::vector<quarantine_notice> TakeNotices();

  /// Removes expired entries.
  void Expire(time_point aNow);

  bool Empty() const { return mEntries.empty(); }
  std::uint32_t Count(quarantine_state aState) const;

private:
  struct crash
  {
    upstream_id mUpstream;
    time_point mAt;
  };
  struct entry
  {
    quarantine_state mState = quarantine_state::Suspect;
    std::vector<crash> mCrashes;
    time_point mExpires;
    /// The node that claimed the retry, valid until `mRetryUntil`.
    node_id mRetryNode;
    time_point mRetryNotBefore;
    time_point mRetryUntil;
  };

  entry& FindOrAddSuspect(const content_id& aContent, time_point aNow);
  bool SameCrash(const crash& aCrash,
                 const upstream_id& aUpstream,
                 time_point aNow) const;
  bool AddCrash(entry& aEntry, const upstream_id& aUpstream, time_point aNow);
  void UpdateQuarantineState(entry& aEntry,
                             std::uint32_t aCrashes,
                             time_point aNow);
  void AttributeCrash(const content_id& aCause,
                      const upstream_id& aUpstream,
                      time_point aNow);
  void EvictIfFull();

  node_id mNode;
  quarantine_settings mSettings;
  std::unordered_map<content_id, entry> mEntries;
  /// Time of the last crash of an upstream that was attributed to a known
  /// suspect, and of the last crash that was processed. Further reports within
  /// the same-crash period are ignored.
  std::unordered_map<upstream_id, time_point> mAttributedCrashes;
  std::unordered_map<upstream_id, time_point> mProcessedCrashes;
  /// Contents whose change has not been announced yet, with the upstream that
  /// the notice names.
  std::unordered_map<content_id, upstream_id> mPendingNotices;
  time_point mNextExpiry;
};
