#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "Membership/EndpointSelector.h"
#include "Membership/MembershipSystem.h"

/// Membership systems that exchange messages in memory. A message arrives in
/// the step in which it is sent. One that cannot be delivered is reported to
/// its sender after the transport's timeout.
class membership_network
{
public:
  using clock = std::chrono::milliseconds;

  struct node
  {
    local_member mSelf;
    std::unique_ptr<membership_system> mSystem;
    bool mRuns = true;
    bool mPaused = false;
    std::vector<member_event> mEvents;
  };

  static constexpr clock kStep{ 250 };
  static constexpr clock kTimeout{ 1000 };

  /// Starts `aCount` nodes, spread over the zones and all in the host list.
  membership_network(std::size_t aCount, std::size_t aZones)
    : mZones(aZones)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      AddNode(i, 1, 0);
    }
    SendHostList();
  }

  /// Starts an incarnation of node `aIndex` at an address derived from `aHost`.
  void AddNode(std::size_t aIndex, std::uint64_t aIncarnation, int aHost)
  {
    if (mNodes.size() <= aIndex) {
      mNodes.resize(aIndex + 1);
    }
    node& added = mNodes[aIndex];
    mIndexes[{ fmt::format("entry-{:03}", aIndex) }] = aIndex;
    const std::string zone = fmt::format("zone-{}", aIndex % mZones);
    added = {};
    added.mSelf = { { fmt::format("entry-{:03}", aIndex) },
                    aIncarnation,
                    { { zone },
                      { "region" },
                      fmt::format("10.{}.1.{}:8080", aHost, aIndex),
                      fmt::format("10.{}.1.{}:9090", aHost, aIndex) } };
    added.mSystem = std::make_unique<membership_system>(
      added.mSelf, membership_settings{}, aIndex * 7919 + aIncarnation);
    added.mSystem->OnHostList(mListing, mNow);
  }

  host_entry Entry(std::size_t aIndex) const
  {
    const local_member& self = mNodes[aIndex].mSelf;
    host_entry entry;
    entry.mName = self.mId.mName;
    entry.mZone = self.mDescriptor.mZone.mName;
    entry.mRegion = self.mDescriptor.mRegion.mName;
    entry.mAddress = self.mDescriptor.mAddress;
    entry.mPeerAddress = self.mDescriptor.mPeerAddress;
    return entry;
  }

  /// Sends all nodes a host list with the nodes that `aListed` accepts, or with
  /// all nodes.
  void SendHostList(const std::function<bool(std::size_t)>& aListed = {})
  {
    mListing.mHosts.clear();
    ++mListing.mVersion;
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      if (!aListed || aListed(i)) {
        mListing.mHosts.push_back(Entry(i));
      }
    }
    for (node& listener : mNodes) {
      listener.mSystem->OnHostList(mListing, mNow);
    }
  }

  void Run(std::chrono::milliseconds aTime)
  {
    for (const time_point end = mNow + aTime; mNow < end; mNow += kStep) {
      Step();
    }
  }

  /// Runs until the condition holds or the limit is reached; returns the time
  /// that passed.
  std::chrono::milliseconds RunUntil(const std::function<bool()>& aCondition,
                                     std::chrono::milliseconds aLimit)
  {
    const time_point start = mNow;
    while (!aCondition() && mNow - start < aLimit) {
      Run(kStep);
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(mNow - start);
  }

  member_state StateAt(std::size_t aViewer, std::size_t aSubject) const
  {
    return mNodes[aViewer]
      .mSystem->StateOf(mNodes[aSubject].mSelf.mId)
      .value_or(member_state::Dead);
  }

  bool AllSee(std::size_t aSubject, member_state aState) const
  {
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      if (i != aSubject && mNodes[i].mRuns && StateAt(i, aSubject) != aState) {
        return false;
      }
    }
    return true;
  }

  bool AllNodesSeeAllAlive() const
  {
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      if (!AllSee(i, member_state::Alive)) {
        return false;
      }
    }
    return true;
  }

  /// Returns the number of events of a kind on all nodes together.
  std::size_t Count(member_event_kind aKind) const
  {
    std::size_t count = 0;
    for (const node& each : mNodes) {
      for (const member_event& event : each.mEvents) {
        count += event.mKind == aKind ? 1 : 0;
      }
    }
    return count;
  }

  std::vector<node> mNodes;
  time_point mNow{ std::chrono::seconds(100) };
  host_list_snapshot mListing;
  /// Returns whether messages from the first node reach the second.
  std::function<bool(std::size_t, std::size_t)> mCanDeliver =
    [](std::size_t, std::size_t) { return true; };
  /// Called with every message that is sent.
  std::function<void(const heartbeat&)> mOnMessage;

private:
  struct lost_message
  {
    time_point mAt;
    std::size_t mNode;
    std::uint64_t mIncarnation;
    node_id mPeer;
  };

  void Step()
  {
    ReportLostMessages();
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      if (mNodes[i].mRuns && !mNodes[i].mPaused) {
        for (const auto& message : mNodes[i].mSystem->Tick(mNow)) {
          Deliver(i, message);
        }
      }
    }
    for (node& each : mNodes) {
      const auto events = each.mSystem->TakeEvents();
      each.mEvents.insert(each.mEvents.end(), events.begin(), events.end());
    }
  }

  void ReportLostMessages()
  {
    std::vector<lost_message> due;
    std::erase_if(mLostMessages, [&](const lost_message& aReport) {
      const bool isDue = aReport.mAt <= mNow && !mNodes[aReport.mNode].mPaused;
      if (isDue) {
        due.push_back(aReport);
      }
      return isDue;
    });
    for (const lost_message& report : due) {
      node& sender = mNodes[report.mNode];
      if (sender.mRuns && sender.mSelf.mIncarnation == report.mIncarnation) {
        sender.mSystem->OnReply(report.mPeer, heartbeat_error::NoAnswer, mNow);
      }
    }
  }

  void Deliver(std::size_t aFrom, const outgoing_heartbeat& aMessage)
  {
    if (mOnMessage) {
      mOnMessage(aMessage.mMessage);
    }
    const std::size_t to = IndexAt(aMessage);
    const bool passes = to < mNodes.size() && !mNodes[to].mPaused &&
                        mCanDeliver(aFrom, to) && mCanDeliver(to, aFrom);
    if (!passes) {
      mLostMessages.push_back({ mNow + kTimeout,
                                aFrom,
                                mNodes[aFrom].mSelf.mIncarnation,
                                aMessage.mPeer });
      return;
    }
    const heartbeat reply =
      mNodes[to].mSystem->OnHeartbeat(aMessage.mMessage, mNow);
    if (mOnMessage) {
      mOnMessage(reply);
    }
    mNodes[aFrom].mSystem->OnReply(aMessage.mPeer, reply, mNow);
  }

  std::size_t IndexAt(const outgoing_heartbeat& aMessage) const
  {
    const std::size_t index = mIndexes.at(aMessage.mPeer);
    const node& peer = mNodes[index];
    const bool there = peer.mRuns && peer.mSelf.mDescriptor.mPeerAddress ==
                                       aMessage.mPeerAddress;
    return there ? index : mNodes.size();
  }

  std::map<node_id, std::size_t> mIndexes;
  std::size_t mZones;
  std::vector<lost_message> mLostMessages;
};
