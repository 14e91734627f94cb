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
constexpr milliseconds kMaxDelay{ 200 };
constexpr milliseconds kMaxReplicaLag{ 300 };
constexpr seconds kDuration{ 120 };
constexpr seconds kMaxApplyDelay{ 5 };
constexpr double kLossRate = 0.01;
constexpr std::size_t kFollowers = 6;
constexpr std::size_t kEditors = 3;

/// Network link between a client and the table service: the end of its
/// partition and the time since which no message was lost.
struct client_link
{
  time_point mPartitionedUntil{};
  time_point mReachableSince{};
};

std::string DescribeFollower(const config_follower& aFollower,
                             const client_link& aLink,
                             time_point aSince)
{
  const config_follower_counters& counters = aFollower.Counters();
  return fmt::format("; applied {}, rejected {}, unreadable {}, stale {}, "
                     "failed {}, mismatches {}, scans {}, rows {}; last fault "
                     "\"{}\"; reachable {} ms before the deadline began",
                     counters.mAppliedVersions,
                     counters.mRejected,
                     counters.mUnreadableRows,
                     counters.mStaleRows,
                     counters.mFailedRequests,
                     counters.mDigestMismatches,
                     counters.mScansStarted,
                     counters.mRowsRead,
                     aFollower.LastError(),
                     (aSince - aLink.mReachableSince).count() / 1000);
}

/// Followers and editors on one table service whose messages are delayed,
/// reordered, lost or answered by a lagging replica.
class config_simulation
{
public:
  explicit config_simulation(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mLinks(kFollowers + kEditors)
    , mHighestVersions(kFollowers, 0)
    , mEditRunning(kEditors, false)
    , mEdits(kEditors)
  {
    for (std::size_t i = 0; i < kFollowers; ++i) {
      StartFollower(i);
    }
    for (std::size_t i = 0; i < kEditors; ++i) {
      config_editor_options options;
      options.mFollower.mPollInterval = milliseconds(1000);
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
      DeliverDue();
      InjectFaults();
      for (std::size_t i = 0; i < kFollowers; ++i) {
        SendRequests(
          i, *mFollowers[i], mFollowers[i]->Tick(mNow), mIncarnations[i]);
        CheckFollower(i);
      }
      for (std::size_t i = 0; i < kEditors; ++i) {
        RunEditor(i);
      }
    }
    EXPECT_GT(mDocuments.size(), 15U);
    EXPECT_GT(mCommittedEdits, 10);
  }

private:
  std::uint64_t Pick(std::uint64_t aCount) { return mRandom() % aCount; }
  bool Chance(double aShare)
  {
    return std::uniform_real_distribution<>()(mRandom) < aShare;
  }

  void StartFollower(std::size_t aIndex)
  {
    config_follower_options options;
    options.mSeed = mRandom();
    options.mScanPageRows = 3;
    mFollowers.resize(kFollowers);
    mIncarnations.resize(kFollowers, 0);
    ++mIncarnations[aIndex];
    mFollowers[aIndex] = std::make_unique<config_follower>(options);
    mHighestVersions[aIndex] = 0;
    // A restart during a partition does not end the partition.
    mLinks[aIndex].mReachableSince =
      std::max(mLinks[aIndex].mReachableSince, mNow);
  }

  /// Partitions links, restarts followers and gives hints, some of them wrong.
  void InjectFaults()
  {
    if (Chance(0.002)) {
      client_link& link = mLinks[Pick(mLinks.size())];
      link.mPartitionedUntil = mNow + milliseconds(Pick(15000));
      link.mReachableSince =
        std::max(link.mReachableSince, link.mPartitionedUntil);
    }
    if (Chance(0.0005)) {
      StartFollower(Pick(kFollowers));
    }
    if (Chance(0.02)) {
      const auto version =
        mFollowers[Pick(kFollowers)]->Current().mVersion + Pick(40) / 39 * 50;
      mFollowers[Pick(kFollowers)]->OnHint(version, mNow);
    }
  }

  void DeliverDue()
  {
    while (!mMessages.empty() && mMessages.begin()->first <= mNow) {
      const auto message = std::move(mMessages.begin()->second);
      mMessages.erase(mMessages.begin());
      message();
    }
  }

  /// Delivers a message of a call after a random delay, unless the link loses
  /// it.
  void SendDelayed(std::size_t aLink, std::function<void()> aStep)
  {
    client_link& link = mLinks[aLink];
    if (mNow < link.mPartitionedUntil) {
      return;
    }
    if (Chance(kLossRate)) {
      link.mReachableSince = std::max(link.mReachableSince, mNow);
      return;
    }
    const milliseconds delay(1 + Pick(kMaxDelay.count()));
    mMessages.emplace(mNow + delay, std::move(aStep));
  }

  const fake_table::row_map& PickReplica()
  {
    const milliseconds lag(Chance(0.3) ? Pick(kMaxReplicaLag.count()) : 0);
    return mTable.At(mNow - lag);
  }

  /// Replies to an earlier incarnation of a follower are dropped.
  template<class System>
  void SendRequests(std::size_t aLink,
                    System& aSystem,
                    const config_requests& aRequests,
                    int aIncarnation)
  {
    const auto isCurrentIncarnation = [this, aLink, aIncarnation] {
      return aLink >= kFollowers || mIncarnations[aLink] == aIncarnation;
    };
    for (const config_read& read : aRequests.mReads) {
      SendDelayed(aLink, [this, aLink, &aSystem, read, isCurrentIncarnation] {
        std::vector<table_row> rows;
        for (const std::string& key : read.mKeys) {
          rows.push_back(fake_table::Row(PickReplica(), key));
        }
        SendDelayed(aLink, [this, &aSystem, read, rows, isCurrentIncarnation] {
          if (isCurrentIncarnation()) {
            aSystem.OnRead(read.mRequest, rows, mNow);
          }
        });
      });
    }
    for (const config_scan& scan : aRequests.mScans) {
      SendDelayed(aLink, [this, aLink, &aSystem, scan, isCurrentIncarnation] {
        const auto rows = fake_table::Scan(PickReplica(), scan.mScan);
        SendDelayed(aLink, [this, &aSystem, scan, rows, isCurrentIncarnation] {
          if (isCurrentIncarnation()) {
            aSystem.OnScan(scan.mRequest, rows, mNow);
          }
        });
      });
    }
  }

  /// Records the expected document of a version that a commit may have added.
  void RecordVersion()
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

  void RunEditor(std::size_t aIndex)
  {
    config_editor& editor = *mEditors[aIndex];
    const std::size_t link = kFollowers + aIndex;
    if (!mEditRunning[aIndex] && Chance(0.01)) {
      StartEdit(aIndex);
    }
    const config_editor_requests requests = editor.Tick(mNow);
    SendRequests(link, editor, requests.mRows, 0);
    if (requests.mCommit) {
      SendDelayed(link, [this, link, &editor, change = *requests.mCommit] {
        const auto reply = mTable.Commit(change, mNow);
        RecordVersion();
        SendDelayed(link, [this, &editor, change, reply] {
          editor.OnCommit(change.mId, reply, mNow);
        });
      });
    }
    if (mEditRunning[aIndex] && editor.Outcome()) {
      mEditRunning[aIndex] = false;
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
    mEditRunning[aIndex] = true;
    mEditors[aIndex]->Put(
      edit, {}, mNow, mNow + milliseconds(500 + Pick(8000)));
  }

  /// An edit reported as committed must be in the table exactly once; one
  /// reported as not applied must never appear there.
  void CheckOutcome(const std::string& aNote, const edit_outcome& aOutcome)
  {
    const int applied = mChangesByNote[aNote];
    if (aOutcome.mStatus == edit_status::Committed) {
      ++mCommittedEdits;
      EXPECT_EQ(applied, 1) << aNote;
    } else if (aOutcome.mStatus != edit_status::Unknown) {
      EXPECT_EQ(applied, 0) << aNote << " " << EditStatusName(aOutcome.mStatus);
      mNotApplied.insert(aNote);
    }
  }

  void CheckFollower(std::size_t aIndex)
  {
    const config_follower& follower = *mFollowers[aIndex];
    const config_snapshot& current = follower.Current();
    ASSERT_GE(current.mVersion, mHighestVersions[aIndex]) << "reverted";
    ASSERT_LT(current.mVersion, mDocuments.size());
    if (current.mVersion > mHighestVersions[aIndex]) {
      ASSERT_TRUE(*current.mDocument == mDocuments[current.mVersion])
        << "follower " << aIndex << " version " << current.mVersion;
      mHighestVersions[aIndex] = current.mVersion;
    }
    if (current.mVersion + 1 < mDocuments.size()) {
      const time_point since = std::max(mCommitTimes[current.mVersion + 1],
                                        mLinks[aIndex].mReachableSince);
      ASSERT_LE((mNow - since).count(),
                std::chrono::microseconds(kMaxApplyDelay).count())
        << "follower " << aIndex << " stays at " << current.mVersion
        << DescribeFollower(follower, mLinks[aIndex], since);
      mLongestApplyDelay = std::max(mLongestApplyDelay, mNow - since);
    }
  }

public:
  std::chrono::microseconds mLongestApplyDelay{ 0 };
  int mCommittedEdits = 0;
  std::size_t Versions() const { return mDocuments.size() - 1; }
  void CheckNotApplied()
  {
    for (const std::string& note : mNotApplied) {
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
  std::vector<int> mIncarnations;
  std::vector<std::uint64_t> mHighestVersions;
  std::vector<std::unique_ptr<config_editor>> mEditors;
  std::vector<bool> mEditRunning;
  std::vector<section_edit> mEdits;
  int mEditCount = 0;
  std::map<std::string, int> mChangesByNote;
  std::set<std::string> mNotApplied;
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
  constexpr std::uint64_t kSeedsPerGroup = 5;
  std::chrono::microseconds longestApplyDelay{ 0 };
  std::size_t versions = 0;
  const std::uint64_t first = GetParam() * kSeedsPerGroup + 1;
  for (std::uint64_t seed = first; seed < first + kSeedsPerGroup; ++seed) {
    SCOPED_TRACE(fmt::format("seed {}", seed));
    config_simulation simulation(seed);
    simulation.Run();
    simulation.CheckNotApplied();
    longestApplyDelay =
      std::max(longestApplyDelay, simulation.mLongestApplyDelay);
    versions += simulation.Versions();
    if (HasFailure()) {
      return;
    }
  }
  fmt::print("{} versions, slowest {} ms after reachable\n",
             versions,
             longestApplyDelay.count() / 1000);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         config_random_test,
                         testing::Range<std::uint64_t>(0, 6));
