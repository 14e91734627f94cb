#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <random>

#include "FakeRowStore.h"
#include "Gateway/TokenAllowance.h"

namespace {

using std::chrono::milliseconds;

constexpr unsigned kAccounts = 24;
constexpr std::int64_t kReserved = 1500;
constexpr std::int64_t kUsed = 800;
// Each account's tokens cover its demand for this time, in seconds.
constexpr std::int64_t kCoveredSeconds = 60;
constexpr milliseconds kStep(20);
// Time from the return of power until a process has bound its addresses.
constexpr milliseconds kProcessStart(500);

account_id Account(unsigned aIndex)
{
  return { "account" + std::to_string(aIndex) };
}

/// A fleet in which every node serves every account, with the store at 20 ms.
class fleet
{
public:
  fleet(unsigned aNodes, double aRequestsPerSecond)
    : mRequestsPerSecond(aRequestsPerSecond)
  {
    for (unsigned i = 0; i < kAccounts; ++i) {
      mWeights.push_back(1.0 / (i + 1.0));
    }
    mChoice =
      std::discrete_distribution<unsigned>(mWeights.begin(), mWeights.end());
    mRuns.resize(aNodes);
    for (unsigned node = 0; node < aNodes; ++node) {
      mNodes.push_back(Start(node));
    }
  }

  std::int64_t Total(unsigned aAccount) const
  {
    double sum = 0.0;
    for (const double weight : mWeights) {
      sum += weight;
    }
    return static_cast<std::int64_t>(mRequestsPerSecond * mWeights[aAccount] /
                                     sum) *
           kCoveredSeconds * kUsed;
  }

  void Run(milliseconds aTime)
  {
    for (milliseconds spent(0); spent < aTime; spent += kStep) {
      Step();
    }
  }

  /// The nodes from `aFirst` to before `aEnd` lose power for a time.
  void LosePower(unsigned aFirst, unsigned aEnd, milliseconds aTime)
  {
    for (unsigned node = aFirst; node < aEnd; ++node) {
      mNodes[node].reset();
    }
    Run(aTime + kProcessStart);
    for (unsigned node = aFirst; node < aEnd; ++node) {
      mNodes[node] = Start(node);
    }
  }

  /// Tokens that nobody can spend any more, of all accounts.
  std::int64_t LostTokens() const
  {
    std::int64_t lost = 0;
    for (unsigned i = 0; i < kAccounts; ++i) {
      const auto value =
        mStore.Value({ "prepaid", Account(i).mName, "granted" });
      lost += value ? ParseGrantRow(*value)->mGranted : 0;
      lost -= mConsumed[i];
      for (const auto& node : mNodes) {
        lost -= node ? node->FreeTokens(Account(i)) : 0;
      }
    }
    return lost;
  }

  bool IsOverspent() const
  {
    for (unsigned i = 0; i < kAccounts; ++i) {
      if (mConsumed[i] > Total(i)) {
        return true;
      }
    }
    return false;
  }

  unsigned mRequests = 0;
  unsigned mRefused = 0;
  fake_row_store mStore;

private:
  using node_pointer = std::shared_ptr<token_allowance>;

  node_pointer Start(unsigned aNode)
  {
    auto node = std::make_shared<token_allowance>(std::to_string(++mNextRun),
                                                  allowance_settings{});
    mRuns[aNode] = mNextRun;
    SetStart(*node);
    for (unsigned i = 0; i < kAccounts; ++i) {
      node->SetTotal(Account(i), Total(i));
    }
    return node;
  }

  // The version before the change has neither of these functions, so that the
  // same measurement can be built with it.
  template<typename allowance>
  void SetStart(allowance& aNode)
  {
    if constexpr (requires { aNode.SetStart(mNow); }) {
      aNode.SetStart(mNow);
    }
  }
  template<typename allowance>
  void SetNodes(allowance& aNode)
  {
    if constexpr (requires { aNode.KnowsFleet(mNow); }) {
      if (aNode.KnowsFleet(mNow)) {
        aNode.SetNodes(mNodes.size());
      }
    } else {
      aNode.SetNodes(mNodes.size());
    }
  }
  template<typename allowance>
  void Read(const std::shared_ptr<allowance>& aNode)
  {
    if constexpr (requires { aNode->TakeGrantReads(mNow); }) {
      for (const account_id& account : aNode->TakeGrantReads(mNow)) {
        mStore.Read("prepaid",
                    account.mName,
                    "granted",
                    [this, account, weak = std::weak_ptr(aNode)](auto aResult) {
                      const auto node = weak.lock();
                      for (const stored_row& row : aResult.value().mRows) {
                        if (node) {
                          node->OnGrantRead(account,
                                            *ParseGrantRow(row.mValue),
                                            row.mVersion,
                                            mNow);
                        }
                      }
                    });
      }
    }
  }
  template<typename allowance>
  void OnClaimConflict(allowance& aNode,
                       const row_commit_reply& aReply,
                       time_point aSentAt)
  {
    std::optional<claim_row> row;
    std::uint64_t version = 0;
    if (!aReply.mCurrent.empty()) {
      row = ParseClaimRow(aReply.mCurrent[0].mValue);
      version = aReply.mCurrent[0].mVersion;
    }
    if constexpr (
      requires { aNode.OnClaimConflict(row, version, mNow - mNow, aSentAt); } ||
      requires { aNode.SetStart(aSentAt); }) {
      aNode.OnClaimConflict(row, version, aReply.mStoreTime, aSentAt);
    } else {
      aNode.OnClaimConflict(row, version, aReply.mStoreTime);
    }
  }

  void Step()
  {
    mNow += kStep;
    mStore.mTime += kStep;
    if (++mSteps % 10 == 0) {
      Report();
    }
    const double expected = mRequestsPerSecond * 0.001 * kStep.count();
    for (unsigned i = std::poisson_distribution<unsigned>(expected)(mRandom);
         i > 0;
         --i) {
      Request();
    }
    for (const auto& node : mNodes) {
      if (node) {
        Write(node);
      }
    }
    for (unsigned i = 0; i < mNodes.size(); ++i) {
      if (!mNodes[i]) {
        continue;
      }
      for (const auto& [to, request] :
           mNodes[i]->TakeTokenRequests(mRuns[i], mNow)) {
        const auto& holder = mNodes[std::stoul(to)];
        const auto transfer =
          holder ? holder->AnswerRequest(request, mNow) : std::nullopt;
        if (transfer) {
          mNodes[i]->OnTransfer(*transfer, mRuns[i]);
        }
      }
    }
    mStore.DeliverReplies();
  }

  void Request()
  {
    std::vector<unsigned> live;
    for (unsigned i = 0; i < mNodes.size(); ++i) {
      if (mNodes[i]) {
        live.push_back(i);
      }
    }
    if (live.empty()) {
      return;
    }
    const unsigned account = mChoice(mRandom);
    ++mRequests;
    mWaiting.push_back({ mNodes[live[mRandom() % live.size()]],
                         account,
                         mNow + milliseconds(150) });
  }

  void Write(const node_pointer& aNode)
  {
    std::erase_if(mWaiting, [&](const waiting_request& aRequest) {
      return aRequest.mNode.lock() == aNode && Serve(aRequest, *aNode);
    });
    std::erase_if(mWaiting, [](const waiting_request& aRequest) {
      return aRequest.mNode.expired();
    });
    Read(aNode);
    for (const grant_change& change : aNode->TakeGrantChanges(mNow)) {
      const row_key key{ "prepaid", change.mAccount.mName, "granted" };
      Commit(key,
             change.mExpectedVersion,
             WriteGrantRow(change.mRow),
             [this, change, weak = std::weak_ptr(aNode)](auto aReply) {
               const auto node = weak.lock();
               if (!node) {
                 return;
               }
               node->OnStoreTime(aReply.mStoreTime, mNow);
               if (aReply.mCommitted) {
                 node->OnCommit(change.mAccount, aReply.mVersion, mNow);
               } else if (aReply.mCurrent.empty()) {
                 node->OnConflict(change.mAccount, std::nullopt, 0, mNow);
               } else {
                 node->OnConflict(change.mAccount,
                                  ParseGrantRow(aReply.mCurrent[0].mValue),
                                  aReply.mCurrent[0].mVersion,
                                  mNow);
               }
             });
    }
    if (const auto claim = aNode->TakeClaim(mNow)) {
      const auto host = std::ranges::find(mNodes, aNode) - mNodes.begin();
      Commit({ "holdings", std::to_string(host), "statement" },
             claim->mExpectedVersion,
             WriteClaimRow(claim->mRow),
             [this, sentAt = mNow, weak = std::weak_ptr(aNode)](auto aReply) {
               const auto node = weak.lock();
               if (!node) {
                 return;
               }
               node->OnStoreTime(aReply.mStoreTime, mNow);
               if (aReply.mCommitted) {
                 node->OnClaimCommitted(aReply.mVersion, mNow);
               } else {
                 OnClaimConflict(*node, aReply, sentAt);
               }
             });
    }
  }

  void Commit(const row_key& aKey,
              std::uint64_t aVersion,
              const std::string& aValue,
              const std::function<void(row_commit_reply)>& aReply)
  {
    row_transaction transaction;
    transaction.mConditions.push_back({ aKey, aVersion });
    transaction.mWrites.push_back({ aKey, aValue });
    mStore.Commit(transaction,
                  [aReply](auto aResult) { aReply(aResult.value()); });
  }

  void Report()
  {
    token_holders holders;
    for (unsigned i = 0; i < mNodes.size(); ++i) {
      if (mNodes[i]) {
        for (const auto& [account, tokens] : mNodes[i]->AllFreeTokens(mNow)) {
          holders[account].push_back({ std::to_string(i), tokens });
        }
      }
    }
    for (auto& [account, entries] : holders) {
      std::ranges::sort(entries, std::greater(), &token_holder::mTokens);
    }
    for (unsigned i = 0; i < mNodes.size(); ++i) {
      if (!mNodes[i]) {
        continue;
      }
      token_holders others = holders;
      for (auto& [account, entries] : others) {
        std::erase_if(entries, [i](const token_holder& aHolder) {
          return aHolder.mAddress == std::to_string(i);
        });
      }
      mNodes[i]->SetHolders(std::move(others));
      SetNodes(*mNodes[i]);
    }
  }

  struct waiting_request
  {
    std::weak_ptr<token_allowance> mNode;
    unsigned mAccount = 0;
    time_point mDeadline;
  };

  /// Whether the request has ended.
  bool Serve(const waiting_request& aRequest, token_allowance& aNode)
  {
    const account_id account = Account(aRequest.mAccount);
    const reserve_verdict verdict = aNode.Reserve(account, kReserved, mNow);
    if (verdict == reserve_verdict::Granted) {
      aNode.FinishReservation(account, kReserved, kUsed, mNow);
      mConsumed[aRequest.mAccount] += kUsed;
      return true;
    }
    if (verdict == reserve_verdict::Awaiting && mNow < aRequest.mDeadline) {
      return false;
    }
    if (verdict == reserve_verdict::Awaiting) {
      aNode.OnUnmetDemand(account, kReserved, mNow);
    }
    ++mRefused;
    return true;
  }

  double mRequestsPerSecond;
  std::mt19937 mRandom{ 7 };
  std::vector<double> mWeights;
  std::discrete_distribution<unsigned> mChoice;
  std::vector<node_pointer> mNodes;
  std::vector<std::uint64_t> mRuns;
  std::uint64_t mNextRun = 0;
  unsigned mSteps = 0;
  time_point mNow{ std::chrono::seconds(100) };
  std::vector<std::int64_t> mConsumed = std::vector<std::int64_t>(kAccounts);
  std::vector<waiting_request> mWaiting;
};

struct loss_case
{
  const char* mName;
  unsigned mNodes;
  double mRequestsPerSecond;
  /// One in this many nodes loses power; 0 means a single node.
  unsigned mDivisor;
  milliseconds mTime;
};

class token_loss : public testing::TestWithParam<loss_case>
{};

} // namespace

// Measures the tokens that are lost with nodes that lose power while accounts
// are used, and guards against refusals after it while tokens are left.
TEST_P(token_loss, AfterALossOfPower)
{
  const loss_case& param = GetParam();
  fleet nodes(param.mNodes, param.mRequestsPerSecond);
  nodes.Run(milliseconds(15000));
  const unsigned lost = param.mDivisor == 0 ? 1 : param.mNodes / param.mDivisor;
  const unsigned refusedBefore = nodes.mRefused;
  const unsigned commitsBefore = nodes.mStore.mCommits;
  nodes.LosePower(0, lost, param.mTime);
  nodes.Run(milliseconds(8000));
  std::int64_t total = 0;
  for (unsigned i = 0; i < kAccounts; ++i) {
    total += nodes.Total(i);
  }
  std::printf("%s: lost %lld tokens, %.4f of all; refused %u of %u before, %u "
              "after; %.0f store writes/s\n",
              param.mName,
              static_cast<long long>(nodes.LostTokens()),
              static_cast<double>(nodes.LostTokens()) /
                static_cast<double>(total),
              refusedBefore,
              nodes.mRequests,
              nodes.mRefused - refusedBefore,
              (nodes.mStore.mCommits - commitsBefore) * 1000.0 /
                static_cast<double>(8500 + param.mTime.count()));
  EXPECT_FALSE(nodes.IsOverspent());
  // Until nothing is left the lost tokens show as early refusals.
  nodes.Run(milliseconds(60000));
  std::printf("%s: refused %u of %u at the end, %lld tokens lost\n",
              param.mName,
              nodes.mRefused,
              nodes.mRequests,
              static_cast<long long>(nodes.LostTokens()));
  EXPECT_FALSE(nodes.IsOverspent());
}

INSTANTIATE_TEST_SUITE_P(
  SmallFleets,
  token_loss,
  testing::Values(
    loss_case{ "8 nodes, one, 2 s", 8, 60.0, 0, milliseconds(2000) },
    loss_case{ "8 nodes, all, 1 s", 8, 60.0, 1, milliseconds(1000) },
    loss_case{ "8 nodes, all, 2 s", 8, 60.0, 1, milliseconds(2000) },
    loss_case{ "8 nodes, all, 3 s", 8, 60.0, 1, milliseconds(3000) }));

// The sanitizers slow these cases down to the time limit of a test.
#ifndef __SANITIZE_ADDRESS__
INSTANTIATE_TEST_SUITE_P(
  LargeFleets,
  token_loss,
  testing::Values(
    loss_case{ "71 nodes, one, 2 s", 71, 580.0, 0, milliseconds(2000) },
    loss_case{ "71 nodes, zone, 2 s", 71, 580.0, 4, milliseconds(2000) },
    loss_case{ "71 nodes, all, 1 s", 71, 580.0, 1, milliseconds(1000) },
    loss_case{ "71 nodes, all, 2 s", 71, 580.0, 1, milliseconds(2000) },
    loss_case{ "71 nodes, all, 3 s", 71, 580.0, 1, milliseconds(3000) }));
#endif
