#include <random>

#include "AllowanceFixture.h"

// Prepaid tokens when the store comes back from an older copy of its rows.

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kRequest = 500;

/// Nodes whose clients send as many requests as the tokens allow, and a store
/// that keeps copies of itself.
class restored_tokens_test : public token_allowance_test
{
protected:
  void Start(unsigned aNodes)
  {
    for (unsigned i = 0; i < aNodes; ++i) {
      mNodes.push_back(std::make_unique<allowance_node>(
        MakeNode("host-" + std::to_string(i))));
      mNodes.back()->mTokenAllowance->SetNodes(aNodes);
      mNodes.back()->mTokenAllowance->SetFleetWhole(true);
    }
  }

  /// Serves the requests that the node's tokens cover; the others wait for a
  /// moment, as clients' requests do.
  void Spend(std::size_t aNode, int aNewRequests)
  {
    auto& waiting = mWaiting[aNode];
    mAsked += aNewRequests;
    waiting.insert(waiting.end(),
                   static_cast<std::size_t>(aNewRequests),
                   mNow + milliseconds(150));
    std::erase_if(waiting, [&](time_point aUntil) {
      token_allowance& tokens = *mNodes[aNode]->mTokenAllowance;
      if (tokens.Reserve(kAccount, kRequest, mNow) !=
          reserve_verdict::Granted) {
        return mNow >= aUntil;
      }
      tokens.FinishReservation(kAccount, kRequest, kRequest, mNow);
      mUsed += kRequest;
      ++mServed;
      return true;
    });
  }

  /// Lets all nodes that run spend and write for a time.
  void Play(milliseconds aTime, int aRequestsPerSecond)
  {
    for (milliseconds spent(0); spent < aTime; spent += milliseconds(10)) {
      if (mNow >= mNextCopyAt) {
        mNextCopyAt = mNow + milliseconds(100);
        mCopies.emplace_back(mNow, mStore.TakeCopy());
      }
      for (std::size_t i = 0; i < mNodes.size(); ++i) {
        if (i == mSuspended) {
          continue;
        }
        mDue[i] += aRequestsPerSecond / 100.0;
        Spend(i, static_cast<int>(mDue[i]));
        mDue[i] -= static_cast<int>(mDue[i]);
        mNodes[i]->Step();
      }
      mStore.DeliverReplies();
      Advance(milliseconds(10));
    }
  }

  /// The store comes back from a copy of this age.
  void Drill(milliseconds aAge)
  {
    fake_row_store::copy copy;
    for (const auto& [at, entry] : mCopies) {
      if (at <= mNow - aAge) {
        copy = entry;
      }
    }
    mCopies.clear();
    mStore.Restore(copy);
  }

  /// A new run on the same host.
  void Restart(std::size_t aNode)
  {
    const std::size_t nodes = mNodes.size();
    mNodes[aNode] = std::make_unique<allowance_node>(
      MakeNode("host-" + std::to_string(aNode)));
    mNodes[aNode]->mTokenAllowance->SetNodes(nodes);
    for (const auto& node : mNodes) {
      node->mTokenAllowance->SetFleetWhole(false);
    }
  }

  std::int64_t Granted() const
  {
    const auto row = mStore.Value(kGrantKey);
    return row ? ParseGrantRow(*row)->mGranted : 0;
  }

  static constexpr std::size_t kNone = 1000;
  std::vector<std::unique_ptr<allowance_node>> mNodes;
  std::map<std::size_t, double> mDue;
  std::map<std::size_t, std::vector<time_point>> mWaiting;
  std::size_t mSuspended = kNone;
  std::vector<std::pair<time_point, fake_row_store::copy>> mCopies;
  time_point mNextCopyAt;
  std::int64_t mUsed = 0;
  int mAsked = 0;
  int mServed = 0;
};

/// Age of the copy, time for which the store is away, number of drills.
struct drill_dose
{
  milliseconds mAge;
  milliseconds mAway;
  int mDrills;
};

class drill_dose_test
  : public restored_tokens_test
  , public testing::WithParamInterface<drill_dose>
{};

} // namespace

// Guards against tokens that are granted a second time, because the restored
// row lacks their grant; and against a fleet that stops while it settles.
TEST_P(drill_dose_test, TokensAreGrantedOnce)
{
  const auto [age, away, drills] = GetParam();
  Start(3);
  Play(milliseconds(8000), 2);
  EXPECT_GT(mServed, 40);
  for (int i = 0; i < drills; ++i) {
    const int asked = mAsked;
    const int served = mServed;
    mStore.mUnreachable = true;
    Play(away, 2);
    mStore.mUnreachable = false;
    Drill(age);
    Play(milliseconds(2000), 2);
    if (i == 0) {
      EXPECT_GE(mServed - served, (mAsked - asked) * 9 / 10);
    }
  }
  const int asked = mAsked;
  const int served = mServed;
  Play(milliseconds(3000), 2);
  EXPECT_GE(mServed - served, (mAsked - asked) * 9 / 10);
  Play(milliseconds(30'000), 4);
  EXPECT_LE(mUsed, kTotal);
  // All nodes run on, so nothing stays unknown and most tokens are used.
  EXPECT_GE(mUsed, kTotal * 9 / 10);
}

INSTANTIATE_TEST_SUITE_P(
  Doses,
  drill_dose_test,
  testing::Values(drill_dose{ milliseconds(1000), milliseconds(200), 1 },
                  drill_dose{ milliseconds(4000), milliseconds(1000), 1 },
                  drill_dose{ milliseconds(8000), milliseconds(6000), 1 },
                  drill_dose{ milliseconds(2000), milliseconds(500), 2 },
                  drill_dose{ milliseconds(6000), milliseconds(500), 3 }));

// Guards against the grants of a node that is suspended through the drill.
TEST_F(restored_tokens_test, SuspendedNodeStatesItsGrantsLater)
{
  Start(3);
  Play(milliseconds(6000), 4);
  mSuspended = 1;
  Play(milliseconds(500), 4);
  Drill(milliseconds(4000));
  for (const auto& node : mNodes) {
    node->mTokenAllowance->SetFleetWhole(false);
  }
  Play(milliseconds(6000), 4);
  mSuspended = kNone;
  Play(milliseconds(40'000), 8);
  EXPECT_LE(mUsed, kTotal);
}

// Guards against tokens of all nodes that nobody can state, because all ended
// in the drill: they stay reserved.
TEST_F(restored_tokens_test, LossOfAllNodesKeepsAReserve)
{
  Start(3);
  Play(milliseconds(8000), 6);
  Drill(milliseconds(3000));
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    Restart(i);
  }
  Play(milliseconds(40'000), 8);
  EXPECT_LE(mUsed, kTotal);
  EXPECT_GE(mUsed, kTotal / 2);
}

// Guards against a node that starts right after the drill and draws before the
// others have stated their grants.
TEST_F(restored_tokens_test, NewNodeWaitsForTheOthers)
{
  Start(3);
  Play(milliseconds(8000), 6);
  Drill(milliseconds(4000));
  Restart(2);
  Play(milliseconds(40'000), 8);
  EXPECT_LE(mUsed, kTotal);
}

// Rows of one era are never told from those of another by their version alone.
TEST_F(restored_tokens_test, RowsTellTheirEra)
{
  Start(2);
  Play(milliseconds(3000), 4);
  const std::int64_t granted = Granted();
  Drill(milliseconds(1500));
  EXPECT_LT(Granted(), granted);
  Play(milliseconds(1000), 4);
  const auto row = ParseGrantRow(*mStore.Value(kGrantKey));
  EXPECT_EQ(row->mEra, 2U);
  EXPECT_EQ(row->mCopy.mEra, 1U);
  EXPECT_GE(row->mGranted, granted);
}

// Random schedules of drills, restarts and suspensions.
TEST_F(restored_tokens_test, RandomSchedulesNeverOverspend)
{
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937_64 random(seed);
    const auto below = [&random](int aBound) {
      return std::uniform_int_distribution<int>(0, aBound - 1)(random);
    };
    mStore = {};
    mNodes.clear();
    mDue.clear();
    mWaiting.clear();
    mCopies.clear();
    mNextCopyAt = {};
    mSuspended = kNone;
    mUsed = 0;
    Start(2 + static_cast<unsigned>(below(4)));
    Play(milliseconds(2000 + below(5000)), 1 + below(6));
    for (int i = 0; i < 4; ++i) {
      switch (below(4)) {
        case 0:
          Restart(
            static_cast<std::size_t>(below(static_cast<int>(mNodes.size()))));
          break;
        case 1:
          mSuspended =
            static_cast<std::size_t>(below(static_cast<int>(mNodes.size())));
          break;
        case 2:
          mSuspended = kNone;
          break;
        default:
          mStore.mUnreachable = true;
          Play(milliseconds(200 + below(2000)), 1 + below(6));
          mStore.mUnreachable = false;
          Drill(milliseconds(1000 + below(9000)));
          if (mSuspended != kNone) {
            for (const auto& node : mNodes) {
              node->mTokenAllowance->SetFleetWhole(false);
            }
          }
          break;
      }
      Play(milliseconds(500 + below(4000)), 1 + below(6));
    }
    mSuspended = kNone;
    Play(milliseconds(20'000), 10);
    EXPECT_LE(mUsed, kTotal);
  }
}
