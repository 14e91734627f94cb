#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Common/Identity.h"
#include "Common/Time.h"
#include "Dispatch/DispatchSettings.h"
#include "Dispatch/DispatchTypes.h"

/// What may be done with a content.
enum class content_verdict : std::uint8_t
{
  Clear,
  /// It may be tried on an upstream where no other suspect runs.
  Suspect,
  /// Another node is trying it.
  Held,
  Quarantined,
};

struct content_check
{
  content_verdict mVerdict = content_verdict::Clear;
  /// A suspect is not tried before this time; a held or quarantined one is
  /// refused until then.
  time_point mUntil;
};

/// Contents that were in flight on upstreams that crashed, from this node's
/// observations and the notices of others. A first crash makes every content
/// in flight a suspect; a later crash is blamed on the suspects in flight and
/// not on the rest.
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

  /// An upstream crashed with these contents of this node in flight. Reports of
  /// the same crash after the first add nothing.
  void OnCrash(const upstream_id& aUpstream,
               const std::vector<content_id>& aInFlight,
               time_point aNow);

  /// This node is going to try a suspect; returns when it may.
  time_point BeginRetry(const content_id& aContent, time_point aNow);
  /// This node gave up trying a suspect.
  void EndRetry(const content_id& aContent);

  /// Whether this node is trying a suspect or going to.
  bool IsRetrying(const content_id& aContent, time_point aNow) const;

  /// The content ran to its end.
  void OnCompleted(const content_id& aContent);

  void OnNotice(const quarantine_notice& aNotice, time_point aNow);

  /// Suspects being tried, here or elsewhere, whose turn comes before that of
  /// the content. Every node computes the same order.
  std::vector<content_id> TurnsBefore(const content_id& aContent,
                                      time_point aNow) const;

  /// Notices for the changes since the last call.
  std::vector<quarantine_notice> TakeNotices();

  /// Forgets what is past its period.
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
    /// The node that tries the suspect, while `mRetryUntil` is not past.
    node_id mRetryNode;
    time_point mTryAfter;
    time_point mRetryUntil;
  };

  entry& Touch(const content_id& aContent, time_point aNow);
  bool SameCrash(const crash& aCrash,
                 const upstream_id& aUpstream,
                 time_point aNow) const;
  bool AddCrash(entry& aEntry, const upstream_id& aUpstream, time_point aNow);
  void Judge(entry& aEntry, std::uint32_t aCrashes, time_point aNow);
  void Explain(const content_id& aCulprit,
               const upstream_id& aUpstream,
               time_point aNow);
  void MakeRoom();

  node_id mNode;
  quarantine_settings mSettings;
  std::unordered_map<content_id, entry> mEntries;
  /// Crashes that known suspects explain, and crashes already looked at.
  std::unordered_map<upstream_id, time_point> mExplained;
  std::unordered_map<upstream_id, time_point> mSeen;
  /// Changed contents with the upstream that the notice names.
  std::unordered_map<content_id, upstream_id> mChanged;
  time_point mNextExpiry;
};
