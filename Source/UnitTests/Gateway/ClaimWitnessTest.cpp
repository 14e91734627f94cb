#include <algorithm>
#include <ostream>
#include <random>

#include "AllowanceFixture.h"

// Prepaid tokens of nodes that are lost while others run on.

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kPrepaid = 400'000;
constexpr std::int64_t kRequest = 1500;
constexpr milliseconds kStep(10);
constexpr milliseconds kReportInterval(200);
// Requests wait so long for tokens.
constexpr milliseconds kWaitTime(150);

/// How the store is reached from one host.
enum class store_link : std::uint8_t
{
  Whole,
  Refused,
  /// Writes are applied, later if at all, and no reply comes.
  Silent,
};

struct host
{
  /// Null while the host is dark.
  std::unique_ptr<allowance_node> mNode;
  store_contact_record mContact;
  store_contacts mPeers;
  store_link mLink = store_link::Whole;
  /// Whether reports of this host reach the others, and theirs reach it.
  bool mReportsLost = false;
  std::vector<time_point> mWaiting;
  double mDue = 0.0;
};

struct report
{
  std::size_t mTo = 0;
  time_point mArrivesAt;
  std::uint64_t mRun = 0;
  store_contact mContact;
};

class claim_witness_test : public token_allowance_test
{
protected:
  void Start(std::size_t aHosts)
  {
    mHosts.resize(aHosts);
    for (std::size_t i = 0; i < aHosts; ++i) {
      StartHost(i);
    }
  }

  void StartHost(std::size_t aHost)
  {
    host& started = mHosts[aHost];
    started.mNode = std::make_unique<allowance_node>(
      MakeNode("host-" + std::to_string(aHost)));
    started.mNode->mTokenAllowance->SetTotal(kAccount, kPrepaid);
    started.mNode->mTokenAllowance->SetNodes(mHosts.size());
    started.mContact = {};
    started.mPeers.clear();
    started.mWaiting.clear();
  }

  void EndHost(std::size_t aHost) { mHosts[aHost].mNode.reset(); }

  /// Lets all hosts serve and write for a time.
  void Play(milliseconds aTime, double aRequestsPerSecond)
  {
    for (milliseconds spent(0); spent < aTime; spent += kStep) {
      if (mNow >= mNextReportAt) {
        mNextReportAt = mNow + kReportInterval;
        SendReports();
      }
      DeliverReports();
      const auto live = std::ranges::count_if(
        mHosts, [](const host& aHost) { return aHost.mNode != nullptr; });
      for (host& entry : mHosts) {
        if (entry.mNode) {
          const double share = static_cast<double>(live);
          entry.mDue += aRequestsPerSecond * 0.001 * kStep.count() / share;
          Serve(entry);
          StepHost(entry);
        }
      }
      mStore.mFault = fake_row_store::fault::None;
      mStore.mUnreachable = false;
      mStore.DeliverReplies();
      Transfer();
      Advance(kStep);
    }
  }

  void Serve(host& aHost)
  {
    const int requests = static_cast<int>(aHost.mDue);
    aHost.mDue -= requests;
    aHost.mWaiting.insert(aHost.mWaiting.end(),
                          static_cast<std::size_t>(requests),
                          mNow + kWaitTime);
    token_allowance& tokens = *aHost.mNode->mTokenAllowance;
    std::erase_if(aHost.mWaiting, [&](time_point aUntil) {
      if (tokens.Reserve(kAccount, kRequest, mNow) !=
          reserve_verdict::Granted) {
        return mNow >= aUntil;
      }
      tokens.FinishReservation(kAccount, kRequest, kRequest, mNow);
      mUsed += kRequest;
      return true;
    });
  }

  void StepHost(host& aHost)
  {
    mStore.mUnreachable = aHost.mLink == store_link::Refused;
    mStore.mFault = aHost.mLink == store_link::Silent
                      ? (mRandom() % 2 == 0 ? fake_row_store::fault::Delay
                                            : fake_row_store::fault::LoseReply)
                      : fake_row_store::fault::None;
    aHost.mNode->mTokenAllowance->SetPeerContacts(aHost.mPeers);
    aHost.mNode->Step();
  }

  void SendReports()
  {
    for (std::size_t from = 0; from < mHosts.size(); ++from) {
      host& sender = mHosts[from];
      if (!sender.mNode) {
        continue;
      }
      const store_contact contact = sender.mContact.State(
        sender.mNode->mTokenAllowance->IsStoreLost(mNow), mStore.mTime);
      for (std::size_t to = 0; to < mHosts.size(); ++to) {
        if (to != from && !sender.mReportsLost && !mHosts[to].mReportsLost) {
          mReports.push_back({ to,
                               mNow + mDelay(mRandom) * kStep,
                               sender.mNode->mRun,
                               contact });
        }
      }
    }
  }

  void DeliverReports()
  {
    std::erase_if(mReports, [this](const report& aReport) {
      if (mNow < aReport.mArrivesAt) {
        return false;
      }
      mHosts[aReport.mTo].mPeers[aReport.mRun] = aReport.mContact;
      return true;
    });
  }

  void Transfer()
  {
    for (std::size_t to = 0; to < mHosts.size(); ++to) {
      if (!mHosts[to].mNode || mHosts[to].mReportsLost) {
        continue;
      }
      allowance_node& node = *mHosts[to].mNode;
      token_holders holders;
      for (std::size_t from = 0; from < mHosts.size(); ++from) {
        if (from == to || !mHosts[from].mNode || mHosts[from].mReportsLost) {
          continue;
        }
        for (const auto& [account, tokens] :
             mHosts[from].mNode->mTokenAllowance->AllFreeTokens(mNow)) {
          holders[account].push_back({ std::to_string(from), tokens });
        }
      }
      node.mTokenAllowance->SetHolders(std::move(holders));
      for (const auto& [address, request] :
           node.mTokenAllowance->TakeTokenRequests(node.mRun, mNow)) {
        const auto& holder = mHosts[std::stoul(address)].mNode;
        const auto transfer =
          holder ? holder->mTokenAllowance->AnswerRequest(request, mNow)
                 : std::nullopt;
        if (transfer) {
          node.mTokenAllowance->OnTransfer(*transfer, node.mRun);
        }
      }
    }
  }

  /// Tokens that were used or can be used by a host, beyond those granted.
  std::int64_t Excess() const
  {
    const auto row = mStore.Value(kGrantKey);
    std::int64_t excess = mUsed - (row ? ParseGrantRow(*row)->mGranted : 0);
    for (const host& entry : mHosts) {
      if (entry.mNode) {
        excess += entry.mNode->mTokenAllowance->FreeTokens(kAccount);
      }
    }
    return excess;
  }

  std::vector<host> mHosts;
  std::vector<report> mReports;
  time_point mNextReportAt;
  std::mt19937 mRandom{ 11 };
  std::uniform_int_distribution<int> mDelay{ 0, 5 };
  std::int64_t mUsed = 0;
};

struct loss
{
  const char* mName;
  std::size_t mHostsAtOnce;
  unsigned mTimes;
  milliseconds mDarkTime;
};

void PrintTo(const loss& aLoss, std::ostream* aOut)
{
  *aOut << aLoss.mName;
}

class node_loss_test
  : public claim_witness_test
  , public testing::WithParamInterface<loss>
{};

} // namespace

// Guards against tokens that nobody can spend after nodes were dark: what a
// lost run may have spent counted as spent for ever, however long it was dark.
TEST_P(node_loss_test, TokensAreSpent)
{
  const loss& lost = GetParam();
  constexpr double kRate = 15.0;
  Start(3);
  Play(milliseconds(9000), kRate);
  for (unsigned i = 0; i < lost.mTimes; ++i) {
    for (std::size_t host = 0; host < lost.mHostsAtOnce; ++host) {
      EndHost((host + i) % mHosts.size());
    }
    Play(lost.mDarkTime + milliseconds(100), kRate);
    for (std::size_t host = 0; host < lost.mHostsAtOnce; ++host) {
      StartHost((host + i) % mHosts.size());
    }
    Play(milliseconds(600), kRate);
  }
  Play(milliseconds(40'000), kRate);
  EXPECT_LE(mUsed, kPrepaid);
  EXPECT_GE(mUsed, kPrepaid * 97 / 100);
}

INSTANTIATE_TEST_SUITE_P(
  Losses,
  node_loss_test,
  testing::Values(loss{ "None", 0, 1, milliseconds(0) },
                  loss{ "OneKilled", 1, 1, milliseconds(0) },
                  loss{ "OneDark", 1, 1, milliseconds(3500) },
                  loss{ "OneDarkFor8s", 1, 1, milliseconds(8000) },
                  loss{ "ThreeInTurn", 1, 3, milliseconds(3500) },
                  loss{ "AllKilled", 3, 1, milliseconds(0) },
                  loss{ "AllDark", 3, 1, milliseconds(3500) },
                  loss{ "AllDarkFor8s", 3, 1, milliseconds(8000) }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

// An outage of the store ends neither the service of the nodes that agree on it
// nor the takeover after it.
TEST_F(claim_witness_test, QuorumServesThroughAnOutage)
{
  Start(3);
  Play(milliseconds(6000), 10.0);
  for (host& entry : mHosts) {
    entry.mLink = store_link::Silent;
  }
  const std::int64_t before = mUsed;
  Play(milliseconds(8000), 10.0);
  EXPECT_GE(mUsed - before, 8 * 10 * kRequest * 9 / 10);
}

// Guards against a run that spends on alone while its witnesses reach the
// store, and against a takeover without their word.
TEST_F(claim_witness_test, LimitsStopWithoutAQuorum)
{
  Start(3);
  Play(milliseconds(6000), 10.0);
  mHosts[0].mLink = store_link::Silent;
  mHosts[0].mReportsLost = true;
  Play(milliseconds(600), 10.0);
  token_allowance& tokens = *mHosts[0].mNode->mTokenAllowance;
  const std::int64_t left = tokens.FreeTokens(kAccount);
  EXPECT_GT(left, 4 * kRequest);
  Play(milliseconds(6000), 10.0);
  EXPECT_GE(tokens.FreeTokens(kAccount), left - kRequest);
}

// Guards against tokens that are spent twice: by a run whose limits had risen
// by a quorum, and by the next run on its host, when the witnesses are in
// contact again.
TEST_F(claim_witness_test, TokensSpentByAQuorumAreNotTakenOver)
{
  Start(3);
  Play(milliseconds(6000), 15.0);
  for (host& entry : mHosts) {
    entry.mLink = store_link::Refused;
  }
  Play(milliseconds(4000), 15.0);
  EndHost(0);
  for (host& entry : mHosts) {
    entry.mLink = store_link::Whole;
  }
  Play(milliseconds(1000), 1.0);
  EXPECT_LE(Excess(), 0);
  StartHost(0);
  Play(milliseconds(2500), 1.0);
  EXPECT_LE(Excess(), 0);
}

// Guards against a proof by statements from before the end of the run: the
// limits may have risen after them.
TEST_F(claim_witness_test, EarlierStatementsProveNothing)
{
  constexpr double kRate = 15.0;
  constexpr auto kUsedPerSecond =
    static_cast<std::int64_t>(kRate / 3) * kRequest;
  for (const bool reportsLost : { false, true }) {
    mHosts.clear();
    mReports.clear();
    mUsed = 0;
    mStore = fake_row_store();
    Start(3);
    Play(milliseconds(6000), kRate);
    const store_contacts earlier = mHosts[0].mPeers;
    EndHost(0);
    Play(milliseconds(4000), 1.0);
    StartHost(0);
    mHosts[0].mPeers = earlier;
    mHosts[0].mReportsLost = reportsLost;
    Play(milliseconds(2500), 1.0);
    if (reportsLost) {
      EXPECT_LT(Excess(), -3 * kUsedPerSecond);
    } else {
      EXPECT_GT(Excess(), -kUsedPerSecond);
    }
  }
}

// The same under losses at random.
TEST_F(claim_witness_test, RandomLossesNeverOverspend)
{
  for (unsigned seed = 1; seed <= 60; ++seed) {
    mRandom.seed(seed);
    mHosts.clear();
    mReports.clear();
    mUsed = 0;
    mStore = fake_row_store();
    Start(2 + seed % 4);
    for (int event = 0; event < 40; ++event) {
      host& entry = mHosts[mRandom() % mHosts.size()];
      const auto index = static_cast<std::size_t>(&entry - mHosts.data());
      switch (mRandom() % 6) {
        case 0:
          EndHost(index);
          break;
        case 1:
          entry.mLink =
            mRandom() % 2 == 0 ? store_link::Refused : store_link::Silent;
          break;
        case 2:
          for (host& other : mHosts) {
            other.mLink = store_link::Silent;
          }
          break;
        case 3:
          for (host& other : mHosts) {
            other.mLink = store_link::Whole;
          }
          break;
        case 4:
          entry.mReportsLost = !entry.mReportsLost;
          break;
        default:
          for (std::size_t i = 0; i < mHosts.size(); ++i) {
            if (!mHosts[i].mNode) {
              StartHost(i);
            }
          }
          break;
      }
      Play(milliseconds(200 + mRandom() % 1200), 8.0 + mRandom() % 20);
      if (mRandom() % 3 == 0) {
        mStore.ApplyDelayedWrites();
      }
      ASSERT_LE(mUsed, kPrepaid) << "seed " << seed;
      ASSERT_LE(Excess(), 0) << "seed " << seed;
    }
  }
}

// Guards against statements that leave out one that was made before.
TEST(store_contact_test, TellsOfAllEarlierStatements)
{
  store_contact_record record;
  EXPECT_FALSE(record.State(false, std::nullopt).IsStated());
  const store_contact first = record.State(false, milliseconds(100));
  EXPECT_EQ(first, (store_contact{ milliseconds(100), milliseconds(100) }));
  const store_contact lost = record.State(true, milliseconds(300));
  EXPECT_TRUE(lost.IsLost());
  // The estimate of the store's clock may go back.
  const store_contact regained = record.State(false, milliseconds(250));
  EXPECT_GT(regained.mSince, lost.mStatedAt);
  EXPECT_EQ(record.State(false, milliseconds(900)).mSince, regained.mSince);
}
