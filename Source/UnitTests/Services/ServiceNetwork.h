#pragma once

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "Services/ServiceCallSystem.h"

/// An in-memory table that applies each transaction once.
class memory_table
{
public:
  table_row Read(const std::string& aKey) const
  {
    const auto found = mRows.find(aKey);
    return found == mRows.end() ? table_row{ aKey, 0, {} } : found->second;
  }

  commit_reply Commit(const table_transaction& aTransaction)
  {
    const auto previous = mReplies.find(aTransaction.mId);
    if (previous != mReplies.end()) {
      return previous->second;
    }
    commit_reply reply{ true, mVersion + 1 };
    for (const table_condition& condition : aTransaction.mConditions) {
      if (Read(condition.mKey).mVersion != condition.mVersion) {
        reply = { false, 0 };
      }
    }
    if (reply.mCommitted) {
      ++mVersion;
      for (const table_write& write : aTransaction.mWrites) {
        if (write.mValue) {
          mRows[write.mKey] = { write.mKey, mVersion, *write.mValue };
        } else {
          mRows.erase(write.mKey);
        }
      }
    }
    mReplies[aTransaction.mId] = reply;
    return reply;
  }

  std::map<std::string, table_row> mRows;

private:
  std::uint64_t mVersion = 0;
  std::map<transaction_id, commit_reply> mReplies;
};

/// Simulated nodes, table and service with random faults.
class service_network
{
public:
  using milliseconds = std::chrono::milliseconds;
  static constexpr milliseconds kStep{ 50 };

  struct node
  {
    incarnation_id mSelf;
    std::unique_ptr<service_call_system> mSystem;
    time_point mPausedUntil;
    std::vector<std::function<void()>> mInbox;
  };

  service_network(std::uint64_t aSeed, std::size_t aNodes)
    : mRandom(aSeed)
    , mNodes(aNodes)
  {
    for (std::size_t i = 0; i < aNodes; ++i) {
      mNodes[i].mSelf.mNode.mName = std::string(1, char('a' + i));
      Restart(i);
    }
  }

  bool Chance(double aProbability)
  {
    return std::bernoulli_distribution(mFaults ? aProbability : 0)(mRandom);
  }

  std::size_t Pick(std::size_t aCount)
  {
    return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(mRandom);
  }

  /// Restarts a node; its state is lost.
  void Restart(std::size_t aNode)
  {
    node& restarted = mNodes[aNode];
    ++restarted.mSelf.mIncarnation;
    restarted.mInbox.clear();
    restarted.mSystem = std::make_unique<service_call_system>(
      restarted.mSelf, service_call_settings{});
  }

  wall_time Wall() const { return wall_time(mNow.time_since_epoch()); }

  void Step()
  {
    mNow += kStep;
    RunDueEvents();
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      if (mNodes[i].mPausedUntil <= mNow) {
        StepNode(i);
      }
    }
  }

  std::mt19937_64 mRandom;
  std::vector<node> mNodes;
  memory_table mTable;
  time_point mNow{ std::chrono::seconds(10) };
  bool mFaults = true;
  bool mTableDown = false;
  /// Number of times that the service ran each call, by key.
  std::map<std::string, int> mRunCounts;
  std::function<void(std::size_t, const call_answer&)> mOnAnswer;
  /// Key of each call, by node incarnation and call number.
  std::map<std::pair<incarnation_id, call_number>, std::string> mKeys;

private:
  struct scheduled_event
  {
    time_point mAt;
    std::uint64_t mOrder;
    std::function<void()> mWork;
    bool operator<(const scheduled_event& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mOrder) < std::tie(mAt, mOrder);
    }
  };

  void Schedule(std::function<void()> aWork)
  {
    const milliseconds delay(Chance(0.1) ? Pick(8000)
                                         : 1 + Pick(mFaults ? 200 : 20));
    mEvents.push({ mNow + delay, ++mOrder, std::move(aWork) });
  }

  void RunDueEvents()
  {
    while (!mEvents.empty() && mEvents.top().mAt <= mNow) {
      const auto work = mEvents.top().mWork;
      mEvents.pop();
      work();
    }
  }

  /// Runs `aWork` at the node unless it restarted; waits while the node is
  /// paused.
  void DeliverToNode(std::size_t aNode, std::function<void()> aWork)
  {
    Schedule([this,
              aNode,
              incarnation = mNodes[aNode].mSelf,
              work = std::move(aWork)] {
      if (mNodes[aNode].mSelf == incarnation) {
        mNodes[aNode].mInbox.push_back(work);
      }
    });
  }

  void StepNode(std::size_t aNode)
  {
    node& stepped = mNodes[aNode];
    for (const auto& work : std::exchange(stepped.mInbox, {})) {
      work();
    }
    const service_call_output work = stepped.mSystem->Tick(mNow, Wall());
    for (const call_read& read : work.mReads) {
      SendToTable<table_row>(aNode, [this, aNode, read](const auto& aFailure) {
        result<table_row, table_error> reply = mTable.Read(read.mKey);
        mNodes[aNode].mSystem->OnRead(read.mRequest,
                                      aFailure ? *aFailure : reply);
      });
    }
    for (const call_commit& commit : work.mCommits) {
      SendCommit(aNode, commit);
    }
    for (const call_number call : work.mSends) {
      Send(aNode, call);
    }
    for (const call_answer& answer : work.mAnswers) {
      mOnAnswer(aNode, answer);
    }
  }

  template<class Reply, class Function>
  void SendToTable(std::size_t aNode, Function aWork)
  {
    std::optional<result<Reply, table_error>> failure;
    if (mTableDown || Chance(0.05)) {
      failure = table_error::Unavailable;
    } else if (Chance(0.05)) {
      failure = table_error::RateLimited;
    }
    DeliverToNode(aNode, [aWork, failure] { aWork(failure); });
  }

  // The request may be lost or applied late, and its reply may be lost.
  void SendCommit(std::size_t aNode, const call_commit& aCommit)
  {
    using commit_result = result<commit_reply, table_error>;
    service_network* self = this;
    const auto answer = [self, aNode, aCommit](const commit_result& aReply) {
      self->mNodes[aNode].mSystem->OnCommit(aCommit.mRequest, aReply);
    };
    if (mTableDown || Chance(0.05)) {
      DeliverToNode(aNode, [answer] { answer(table_error::Unavailable); });
      return;
    }
    if (Chance(0.05)) {
      return;
    }
    Schedule([self, aNode, aCommit, answer, incarnation = mNodes[aNode].mSelf] {
      const commit_reply reply = self->mTable.Commit(aCommit.mTransaction);
      if (self->mNodes[aNode].mSelf != incarnation || self->Chance(0.1)) {
        return;
      }
      if (self->Chance(0.1)) {
        self->DeliverToNode(aNode, [answer] { answer(table_error::Timeout); });
      } else {
        self->DeliverToNode(aNode, [answer, reply] { answer(reply); });
      }
    });
  }

  void Send(std::size_t aNode, call_number aCall)
  {
    service_call_system& system = *mNodes[aNode].mSystem;
    const std::string key = mKeys.at({ mNodes[aNode].mSelf, aCall });
    if (Chance(0.1)) {
      system.OnServiceResult(aCall, service_error::NotSent);
      return;
    }
    system.OnSent(aCall);
    result<service_response, service_error> reply = service_error::Lost;
    const bool arrives = !Chance(0.1);
    if (arrives && !Chance(0.1)) {
      const int status = Chance(0.1) ? 409 : Chance(0.1) ? 500 : 200;
      reply = service_response{ status, "text/plain", key };
    }
    Schedule([this,
              aNode,
              aCall,
              key,
              arrives,
              reply,
              incarnation = mNodes[aNode].mSelf] {
      mRunCounts[key] += arrives ? 1 : 0;
      if (mNodes[aNode].mSelf == incarnation) {
        DeliverToNode(aNode, [this, aNode, aCall, reply] {
          mNodes[aNode].mSystem->OnServiceResult(aCall, reply);
        });
      }
    });
  }

  std::priority_queue<scheduled_event> mEvents;
  std::uint64_t mOrder = 0;
};
