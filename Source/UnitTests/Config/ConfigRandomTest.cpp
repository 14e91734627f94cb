#include <functional>
#include <memory>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "Config/ConfigEditor.h"
#include "Config/ConfigFollower.h"

#include "FakeTable.h"
#include "FleetFixture.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep{ 10 };
constexpr milliseconds kLongestDelay{ 200 };
constexpr milliseconds kLongestLag{ 300 };
constexpr seconds kDuration{ 120 };
constexpr seconds kInForceWithin{ 5 };
constexpr double kLossRate = 0.01;
constexpr std::size_t kFollowers = 6;
constexpr std::size_t kEditors = 3;

/// Network link between a client and the table service: the end of its
/// partition and the time since which no message was lost.
struct client_link
{
  time_point mCutUntil{};
  time_point mReachableSince{};
};

std::string Describe(const config_follower& aFollower,
                     const client_link& aLink,
                     time_point aSince)
{
  const follower_counters& counters = aFollower.Counters();
  return fmt::format("; applied {}, rejected {}, unreadable {}, stale {}, "
                     "failed {}, mismatches {}, scans {}, rows {}; last fault "
                     "\"{}\"; reachable {} ms before the deadline began",
                     counters.mApplied,
                     counters.mRejected,
                     counters.mUnreadableRows,
                     counters.mStaleRows,
                     counters.mFailedRequests,
                     counters.mMismatches,
                     counters.mScansStarted,
                     counters.mRowsRead,
                     aFollower.LastFault(),
                     (aSince - aLink.mReachableSince).count() / 1000);
}

/// Followers and editors on one table service whose messages are delayed,
/// reordered, lost or answered by a lagging replica.
class config_world
{
public:
  explicit config_world(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mLinks(kFollowers + kEditors)
    , mHighest(kFollowers, 0)
    , mBusy(kEditors, false)
    , mEdits(kEditors)
  {
    for (std::size_t i = 0; i < kFollowers; ++i) {
      Start(i);
    }
    for (std::size_t i = 0; i < kEditors; ++i) {
      editor_options options;
      options.mFollower.mPollPeriod = milliseconds(1000);
      mEditors.push_back(std::make_unique<config_editor>(
        std::vector<operator_key>{ { "ops", "secret", { "*" } } },
        aSeed * 100 + i,
        options));
    }
    mDocuments.emplace_back();
    mCommitTimes.push_back(mNow);
  }

  void Run()
  {
    const time_point end = mNow + kDuration;
    while (mNow < end && !testing::Test::HasFailure()) {
      mNow += kStep;
      Deliver();
      Disturb();
      for (std::size_t i = 0; i < kFollowers; ++i) {
        Send(i, *mFollowers[i], mFollowers[i]->Tick(mNow), mLives[i]);
        CheckFollower(i);
      }
      for (std::size_t i = 0; i < kEditors; ++i) {
        StepEditor(i);
      }
    }
    EXPECT_GT(mDocuments.size(), 15U);
    EXPECT_GT(mCommitted, 10);
  }

private:
  std::uint64_t Pick(std::uint64_t aCount) { return mRandom() % aCount; }
  bool Chance(double aShare)
  {
    return std::uniform_real_distribution<>()(mRandom) < aShare;
  }

  void Start(std::size_t aIndex)
  {
    follower_options options;
    options.mSeed = mRandom();
    options.mScanPage = 3;
    mFollowers.resize(kFollowers);
    mLives.resize(kFollowers, 0);
    ++mLives[aIndex];
    mFollowers[aIndex] = std::make_unique<config_follower>(options);
    mHighest[aIndex] = 0;
    // A restart during a partition does not end the partition.
    mLinks[aIndex].mReachableSince =
      std::max(mLinks[aIndex].mReachableSince, mNow);
  }

  /// Partitions links, restarts followers and gives hints, some of them wrong.
  void Disturb()
  {
    if (Chance(0.002)) {
      client_link& link = mLinks[Pick(mLinks.size())];
      link.mCutUntil = mNow + milliseconds(Pick(15000));
      link.mReachableSince = std::max(link.mReachableSince, link.mCutUntil);
    }
    if (Chance(0.0005)) {
      Start(Pick(kFollowers));
    }
    if (Chance(0.02)) {
      const auto version =
        mFollowers[Pick(kFollowers)]->Current().mVersion + Pick(40) / 39 * 50;
      mFollowers[Pick(kFollowers)]->OnHint(version, mNow);
    }
  }

  void Deliver()
  {
    while (!mMessages.empty() && mMessages.begin()->first <= mNow) {
      const auto message = std::move(mMessages.begin()->second);
      mMessages.erase(mMessages.begin());
      message();
    }
  }

  /// Delivers a message of a call after a random delay, unless the link loses
  /// it.
  void Later(std::size_t aLink, std::function<void()> aStep)
  {
    client_link& link = mLinks[aLink];
    if (mNow < link.mCutUntil) {
      return;
    }
    if (Chance(kLossRate)) {
      link.mReachableSince = std::max(link.mReachableSince, mNow);
      return;
    }
    const milliseconds delay(1 + Pick(kLongestDelay.count()));
    mMessages.emplace(mNow + delay, std::move(aStep));
  }

  const fake_table::row_map& SomeReplica()
  {
    const milliseconds lag(Chance(0.3) ? Pick(kLongestLag.count()) : 0);
    return mTable.At(mNow - lag);
  }

  /// Replies to an earlier incarnation of a follower are dropped.
  template<class System>
  void Send(std::size_t aLink,
            System& aSystem,
            const config_requests& aRequests,
            int aLife)
  {
    const auto alive = [this, aLink, aLife] {
      return aLink >= kFollowers || mLives[aLink] == aLife;
    };
    for (const config_read& read : aRequests.mReads) {
      Later(aLink, [this, aLink, &aSystem, read, alive] {
        std::vector<table_row> rows;
        for (const std::string& key : read.mKeys) {
          rows.push_back(fake_table::Row(SomeReplica(), key));
        }
        Later(aLink, [this, &aSystem, read, rows, alive] {
          if (alive()) {
            aSystem.OnRead(read.mRequest, rows, mNow);
          }
        });
      });
    }
    for (const config_scan& scan : aRequests.mScans) {
      Later(aLink, [this, aLink, &aSystem, scan, alive] {
        const auto rows = fake_table::Scan(SomeReplica(), scan.mScan);
        Later(aLink, [this, &aSystem, scan, rows, alive] {
          if (alive()) {
            aSystem.OnScan(scan.mRequest, rows, mNow);
          }
        });
      });
    }
  }

  /// Records the expected document of a version that a commit may have added.
  void NoteVersion()
  {
    const auto row = fake_table::Row(mTable.mRows, std::string(kConfigHeadKey));
    if (row.mVersion == 0) {
      return;
    }
    const auto version = ReadConfigHead(row.mValue).value().mVersion;
    ASSERT_LE(version, mDocuments.size());
    if (version < mDocuments.size()) {
      return;
    }
    const auto change =
      ReadConfigChange(mTable.mRows.at(ConfigChangeKey(version)).mValue);
    const auto section = ReadConfigSection(
      mTable.mRows.at(ConfigSectionKey(change.value().mSection)).mValue);
    const auto document = mDocuments.back().With(
      { { change.value().mSection, section.value().mText } });
    ASSERT_TRUE(document.has_value()) << FormatConfigErrors(document.error());
    mDocuments.push_back(document.value());
    mCommitTimes.push_back(mNow);
    ++mChangesByNote[change.value().mNote];
  }

  void StepEditor(std::size_t aIndex)
  {
    config_editor& editor = *mEditors[aIndex];
    const std::size_t link = kFollowers + aIndex;
    if (!mBusy[aIndex] && Chance(0.01)) {
      StartEdit(aIndex);
    }
    const editor_requests requests = editor.Tick(mNow);
    Send(link, editor, requests.mRows, 0);
    if (requests.mCommit) {
      Later(link, [this, link, &editor, change = *requests.mCommit] {
        const auto reply = mTable.Commit(change, mNow);
        NoteVersion();
        Later(link, [this, &editor, change, reply] {
          editor.OnCommit(change.mId, reply, mNow);
        });
      });
    }
    if (mBusy[aIndex] && editor.Outcome()) {
      mBusy[aIndex] = false;
      CheckOutcome(mEdits[aIndex].mNote, *editor.Outcome());
    }
  }

  void StartEdit(std::size_t aIndex)
  {
    static const char* const sAccounts[] = { "a", "b", "c", "clinic" };
    const config_follower& known = mEditors[aIndex]->Follower();
    section_edit edit;
    const std::uint64_t kind = Pick(10);
    if (known.SectionVersion("capacity") == 0 || kind == 0) {
      edit.mSection = "capacity";
      edit.mText = kCapacityText;
    } else if (known.SectionVersion("billing") == 0 || kind == 1) {
      edit.mSection = "billing";
      edit.mText = kBillingText;
    } else {
      const std::string account = sAccounts[Pick(4)];
      edit.mSection = "accounts/" + account;
      edit.mText = AccountText(account, 1.0 + static_cast<double>(Pick(100)));
      if (kind == 2) {
        edit.mText.reset();
      }
    }
    edit.mBaseVersion = known.SectionVersion(edit.mSection);
    edit.mOperatorId = "ops";
    edit.mOperatorSecret = "secret";
    edit.mNote = fmt::format("edit {}", ++mEditCount);
    mEdits[aIndex] = edit;
    mBusy[aIndex] = true;
    mEditors[aIndex]->Put(
      edit, {}, mNow, mNow + milliseconds(500 + Pick(8000)));
  }

  /// An edit reported as committed must be in the table exactly once; one
  /// reported as not applied must never appear there.
  void CheckOutcome(const std::string& aNote, const edit_outcome& aOutcome)
  {
    const int applied = mChangesByNote[aNote];
    if (aOutcome.mStatus == edit_status::Committed) {
      ++mCommitted;
      EXPECT_EQ(applied, 1) << aNote;
    } else if (aOutcome.mStatus != edit_status::Unknown) {
      EXPECT_EQ(applied, 0) << aNote << " " << EditStatusName(aOutcome.mStatus);
      mRefused.insert(aNote);
    }
  }

  void CheckFollower(std::size_t aIndex)
  {
    const config_follower& follower = *mFollowers[aIndex];
    const config_snapshot& current = follower.Current();
    ASSERT_GE(current.mVersion, mHighest[aIndex]) << "reverted";
    ASSERT_LT(current.mVersion, mDocuments.size());
    if (current.mVersion > mHighest[aIndex]) {
      ASSERT_TRUE(*current.mDocument == mDocuments[current.mVersion])
        << "follower " << aIndex << " version " << current.mVersion;
      mHighest[aIndex] = current.mVersion;
    }
    if (current.mVersion + 1 < mDocuments.size()) {
      const time_point since = std::max(mCommitTimes[current.mVersion + 1],
                                        mLinks[aIndex].mReachableSince);
      ASSERT_LE((mNow - since).count(),
                std::chrono::microseconds(kInForceWithin).count())
        << "follower " << aIndex << " stays at " << current.mVersion
        << Describe(follower, mLinks[aIndex], since);
      mSlowest = std::max(mSlowest, mNow - since);
    }
  }

public:
  std::chrono::microseconds mSlowest{ 0 };
  int mCommitted = 0;
  std::size_t Versions() const { return mDocuments.size() - 1; }
  void CheckRefused()
  {
    for (const std::string& note : mRefused) {
      EXPECT_EQ(mChangesByNote[note], 0) << note;
    }
  }

private:
  std::mt19937_64 mRandom;
  time_point mNow{ seconds(10) };
  fake_table mTable;
  std::multimap<time_point, std::function<void()>> mMessages;
  std::vector<client_link> mLinks;
  std::vector<std::unique_ptr<config_follower>> mFollowers;
  std::vector<int> mLives;
  std::vector<std::uint64_t> mHighest;
  std::vector<std::unique_ptr<config_editor>> mEditors;
  std::vector<bool> mBusy;
  std::vector<section_edit> mEdits;
  int mEditCount = 0;
  std::map<std::string, int> mChangesByNote;
  std::set<std::string> mRefused;
  /// Document and commit time of each version.
  std::vector<fleet_document> mDocuments;
  std::vector<time_point> mCommitTimes;
};

} // namespace

/// The parameter selects a group of seeds; groups can run in parallel.
class config_random_test : public testing::TestWithParam<std::uint64_t>
{};

// Guards against reverted versions, documents mixed from two versions, edits
// that are lost or applied twice, and changes that take longer than 5 s, under
// stale, lost and reordered replies, partitions, restarts and wrong hints. Seed
// 28 produces a mixed document when the digest is not compared.
TEST_P(config_random_test, FollowersAndEditorsWithFaults)
{
  constexpr std::uint64_t kGroup = 5;
  std::chrono::microseconds slowest{ 0 };
  std::size_t versions = 0;
  const std::uint64_t first = GetParam() * kGroup + 1;
  for (std::uint64_t seed = first; seed < first + kGroup; ++seed) {
    SCOPED_TRACE(fmt::format("seed {}", seed));
    config_world world(seed);
    world.Run();
    world.CheckRefused();
    slowest = std::max(slowest, world.mSlowest);
    versions += world.Versions();
    if (HasFailure()) {
      return;
    }
  }
  fmt::print("{} versions, slowest {} ms after reachable\n",
             versions,
             slowest.count() / 1000);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         config_random_test,
                         testing::Range<std::uint64_t>(0, 6));
