#include <algorithm>
#include <functional>
#include <random>

#include "AllowanceFixture.h"

// Prepaid tokens of one account in a fleet of many hosts, most of which see a
// few of its requests, while its callers move between hosts.

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kHosts = 36;
constexpr std::size_t kCallers = 40;
constexpr std::int64_t kRequestTokens = 7000;
// Share of a reservation that is used.
constexpr double kUsedShare = 0.9;
constexpr double kRequestsPerSecond = 9.0;
// The tokens cover 20 s of the demand.
constexpr std::int64_t kAccountTokens = 1'200'000;
constexpr milliseconds kStep(10);
constexpr milliseconds kWaitTime(150);
constexpr milliseconds kRequestTime(1500);
constexpr milliseconds kReportTime(400);

class account_fleet
{
public:
  account_fleet()
  {
    for (std::size_t i = 0; i < kHosts; ++i) {
      mHosts.push_back(std::make_unique<allowance_node>(
        "host-" + std::to_string(i), i + 1, mStore, mNow));
      token_allowance& tokens = *mHosts[i]->mTokenAllowance;
      tokens.SetTotal(kAccount, kAccountTokens);
      tokens.SetNodes(kHosts);
    }
    for (std::size_t i = 0; i < kCallers; ++i) {
      MoveCaller(i);
    }
  }

  void Play(milliseconds aTime)
  {
    for (const time_point end = mNow + aTime; mNow < end; mNow += kStep) {
      mStore.mTime += kStep;
      BeginRequests();
      for (std::size_t i = 0; i < kHosts; ++i) {
        if (i != mDead) {
          mHosts[i]->Step();
          SendTokenRequests(*mHosts[i]);
        }
      }
      mStore.DeliverReplies();
      Serve();
      if (mNow >= mNextReportAt) {
        mNextReportAt = mNow + kReportTime;
        Report();
      }
    }
  }
  void Kill(std::size_t aHost)
  {
    mDead = aHost;
    for (std::size_t i = 0; i < kCallers; ++i) {
      if (mCallerHosts[i] == aHost) {
        MoveCaller(i);
      }
    }
  }
  void SetStoreAway(bool aAway) { mStore.mUnreachable = aAway; }
  double RefusedShare() const
  {
    return static_cast<double>(mRefused) / static_cast<double>(mTries);
  }
  void ResetCounts() { mTries = mRefused = 0; }
  std::int64_t Used() const { return mUsed; }
  double GrantedShare() const
  {
    const auto row = mStore.Value(kGrantKey);
    return row ? static_cast<double>(ParseGrantRow(*row)->mGranted) /
                   static_cast<double>(kAccountTokens)
               : 0.0;
  }

private:
  struct request
  {
    std::size_t mHost = 0;
    time_point mUntil;
    bool mServed = false;
  };

  void MoveCaller(std::size_t aCaller)
  {
    std::size_t host = mDead;
    while (host == mDead) {
      host = std::uniform_int_distribution<std::size_t>(0, kHosts - 1)(mRandom);
    }
    mCallerHosts[aCaller] = host;
  }

  void BeginRequests()
  {
    mDue += kRequestsPerSecond * 0.01;
    for (; mDue >= 1.0; mDue -= 1.0) {
      const auto caller =
        std::uniform_int_distribution<std::size_t>(0, kCallers - 1)(mRandom);
      if (std::uniform_int_distribution<int>(0, 3)(mRandom) == 0) {
        MoveCaller(caller);
      }
      ++mTries;
      mRequests.push_back({ mCallerHosts[caller], mNow + kWaitTime });
    }
  }

  void Serve()
  {
    std::erase_if(mRequests, [this](request& aRequest) {
      token_allowance& tokens = *mHosts[aRequest.mHost]->mTokenAllowance;
      if (aRequest.mHost == mDead) {
        return true;
      }
      if (aRequest.mServed) {
        if (mNow < aRequest.mUntil) {
          return false;
        }
        const auto used = static_cast<std::int64_t>(
          static_cast<double>(kRequestTokens) * kUsedShare);
        tokens.FinishReservation(kAccount, kRequestTokens, used, mNow);
        mUsed += used;
        return true;
      }
      if (tokens.Reserve(kAccount, kRequestTokens, mNow) ==
          reserve_verdict::Granted) {
        aRequest.mServed = true;
        aRequest.mUntil = mNow + kRequestTime;
        return false;
      }
      if (mNow < aRequest.mUntil) {
        return false;
      }
      tokens.OnUnmetDemand(kAccount, kRequestTokens, mNow);
      ++mRefused;
      return true;
    });
  }

  void SendTokenRequests(allowance_node& aHost)
  {
    for (const addressed_request& sent :
         aHost.mTokenAllowance->TakeTokenRequests(aHost.mRun, mNow)) {
      const auto giver = static_cast<std::size_t>(std::stoul(sent.mTo));
      if (giver == mDead) {
        continue;
      }
      const auto transfer =
        mHosts[giver]->mTokenAllowance->AnswerRequest(sent.mRequest, mNow);
      if (transfer) {
        aHost.mTokenAllowance->OnTransfer(*transfer, aHost.mRun);
      }
    }
  }

  void Report()
  {
    std::vector<token_holder> holders;
    for (std::size_t i = 0; i < kHosts; ++i) {
      const auto free = mHosts[i]->mTokenAllowance->AllFreeTokens(mNow);
      if (i != mDead && !free.empty()) {
        holders.push_back({ std::to_string(i), free.front().second });
      }
    }
    std::ranges::sort(holders, std::ranges::greater(), &token_holder::mTokens);
    for (std::size_t i = 0; i < kHosts; ++i) {
      std::vector<token_holder> others = holders;
      std::erase_if(others, [i](const token_holder& aHolder) {
        return aHolder.mAddress == std::to_string(i);
      });
      mHosts[i]->mTokenAllowance->SetHolders(
        { { AccountKey(kAccount), others } });
    }
  }

  fake_row_store mStore;
  time_point mNow{ std::chrono::seconds(100) };
  std::mt19937_64 mRandom{ 7 };
  std::vector<std::unique_ptr<allowance_node>> mHosts;
  std::map<std::size_t, std::size_t> mCallerHosts;
  std::vector<request> mRequests;
  std::size_t mDead = kHosts;
  double mDue = 0.0;
  time_point mNextReportAt;
  int mTries = 0;
  int mRefused = 0;
  std::int64_t mUsed = 0;
};

} // namespace

// Guards against hosts that draw the tokens of many requests for one, so that
// the row is empty when other hosts need some.
TEST(token_placement_test, HostsDrawByTheirDemand)
{
  account_fleet fleet;
  fleet.Play(milliseconds(1200));
  EXPECT_LE(fleet.GrantedShare(), 0.5);
  EXPECT_LE(fleet.RefusedShare(), 0.01);
}

// The goal: no more than one try in a hundred refused while tokens are unspent.
TEST(token_placement_test, TokensAreWhereTheDemandIs)
{
  account_fleet fleet;
  fleet.Play(milliseconds(12'000));
  EXPECT_LE(fleet.RefusedShare(), 0.01);
}

// The same in the three seconds after a host dies.
TEST(token_placement_test, DeathOfAHost)
{
  account_fleet fleet;
  fleet.Play(milliseconds(5000));
  fleet.Kill(3);
  fleet.ResetCounts();
  fleet.Play(milliseconds(3000));
  EXPECT_LE(fleet.RefusedShare(), 0.01);
}

// The same while the store is away.
TEST(token_placement_test, OutageOfTheStore)
{
  account_fleet fleet;
  fleet.Play(milliseconds(4000));
  fleet.SetStoreAway(true);
  fleet.ResetCounts();
  fleet.Play(milliseconds(9000));
  EXPECT_LE(fleet.RefusedShare(), 0.01);
}

// Guards against hosts that get no tokens, because each waits after a conflict
// while the others change the row.
TEST(token_placement_test, DrawsOfManyHostsAtOnce)
{
  constexpr milliseconds kTransactionTime(4);
  fake_row_store store;
  time_point now{ std::chrono::seconds(100) };
  std::vector<std::unique_ptr<allowance_node>> hosts;
  std::vector<std::pair<std::size_t, time_point>> waiting;
  for (std::size_t i = 0; i < kHosts; ++i) {
    hosts.push_back(std::make_unique<allowance_node>(
      "host-" + std::to_string(i), i + 1, store, now));
    hosts[i]->mTokenAllowance->SetTotal(kAccount, 10 * kAccountTokens);
    hosts[i]->mTokenAllowance->SetNodes(300);
  }
  int tries = 0;
  int refused = 0;
  const time_point begin = now;
  for (; now < begin + milliseconds(2000); now += kTransactionTime) {
    store.mTime += kTransactionTime;
    // Each host gets a request every 400 ms, one host after the other.
    for (std::size_t i = 0; i < kHosts; ++i) {
      const auto since = now - begin - milliseconds(static_cast<int>(i) * 11);
      if (since >= milliseconds(0) &&
          since % milliseconds(400) < kTransactionTime) {
        waiting.emplace_back(i, now + kWaitTime);
        ++tries;
      }
    }
    std::erase_if(waiting, [&](const auto& aRequest) {
      const auto& [host, until] = aRequest;
      if (hosts[host]->mTokenAllowance->Reserve(
            kAccount, kRequestTokens, now) == reserve_verdict::Granted) {
        return true;
      }
      refused += now >= until ? 1 : 0;
      return now >= until;
    });
    for (const auto& host : hosts) {
      host->Step();
    }
    store.DeliverReplies();
  }
  EXPECT_GT(tries, 100);
  EXPECT_LE(refused, tries / 100);
}

// The number of nodes that share an account, from its row.
TEST(grant_row_test, CountsTheNodesThatDraw)
{
  constexpr int kSets = 40;
  for (const std::size_t nodes : { 1U, 5U, 36U, 100U }) {
    std::size_t sum = 0;
    for (int set = 0; set < kSets; ++set) {
      grant_row row;
      for (std::size_t i = 0; i < nodes; ++i) {
        RecordDrawer(row,
                     std::to_string(set) + "-" + std::to_string(i),
                     milliseconds(1000));
      }
      sum += CountDrawers(row);
      RecordDrawer(row, "other", milliseconds(30'000));
      EXPECT_EQ(CountDrawers(row), 1U);
    }
    EXPECT_NEAR(static_cast<double>(sum) / kSets,
                static_cast<double>(nodes),
                0.1 * static_cast<double>(nodes));
  }
}
