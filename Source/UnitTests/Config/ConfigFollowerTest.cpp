#include "Config/ConfigFollower.h"

#include <map>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "Config/ConfigEditor.h"
#include "Config/TextDiff.h"

#include "FakeTable.h"
#include "FleetFixture.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An editor and followers on a table service that answers at once.
class config_follower_test : public testing::Test
{
protected:
  edit_outcome Put(const std::string& aSection,
                   std::optional<std::string> aText,
                   std::uint64_t aBase)
  {
    mEditor.Put({ aSection, std::move(aText), aBase, "ops", "secret", "" },
                {},
                mNow,
                mNow + seconds(10));
    for (int i = 0; i < 1000 && !mEditor.Outcome(); ++i) {
      const config_editor_requests requests = mEditor.Tick(mNow);
      Answer(mEditor, requests.mRows);
      if (requests.mCommit) {
        mEditor.OnCommit(
          requests.mCommit->mId, mTable.Commit(*requests.mCommit, mNow), mNow);
      }
      mNow += milliseconds(10);
    }
    return mEditor.Outcome().value_or(edit_outcome{});
  }

  template<class System>
  void Answer(System& aSystem, const config_requests& aRequests)
  {
    for (const config_read& read : aRequests.mReads) {
      mLargestRead = std::max(mLargestRead, read.mKeys.size());
      std::vector<table_row> rows;
      for (const std::string& key : read.mKeys) {
        rows.push_back(fake_table::Row(mTable.mRows, key));
      }
      aSystem.OnRead(read.mRequest, rows, mNow);
    }
    for (const config_scan& scan : aRequests.mScans) {
      aSystem.OnScan(
        scan.mRequest, fake_table::Scan(mTable.mRows, scan.mScan), mNow);
    }
  }

  void Run(config_follower& aFollower, milliseconds aTime)
  {
    for (const time_point end = mNow + aTime; mNow < end;
         mNow += milliseconds(10)) {
      Answer(aFollower, aFollower.Tick(mNow));
    }
  }

  void PutInitialDocument()
  {
    EXPECT_EQ(Put("capacity", kCapacityText, 0).mVersion, 1U);
    EXPECT_EQ(Put("billing", kBillingText, 0).mVersion, 2U);
    EXPECT_EQ(Put("accounts/clinic", AccountText("key-1"), 0).mVersion, 3U);
  }

  void Overwrite(const std::string& aKey, const std::string& aValue)
  {
    table_row& row = mTable.mRows[aKey];
    row = { aKey, row.mVersion + 1000, aValue };
  }

  fake_table mTable;
  time_point mNow{ seconds(1) };
  std::size_t mLargestRead = 0;
  config_editor mEditor{ { { "ops", "secret", { "*" } },
                           { "clinic", "s2", { "accounts/clinic" } } },
                         7,
                         {} };
};

} // namespace

// Guards against a follower that scans the whole table again, or reads rows it
// does not need, for a change of one section.
TEST_F(config_follower_test, StartsByScanAndFollowsOneSection)
{
  PutInitialDocument();
  config_follower follower({});
  Run(follower, seconds(1));
  EXPECT_EQ(follower.Current().mVersion, 3U);
  EXPECT_EQ(follower.Counters().mScansStarted, 1U);
  const auto before = follower.Counters().mRowsRead;
  Put("accounts/clinic", AccountText("key-2"), 3);
  Run(follower, seconds(4));
  EXPECT_EQ(follower.Current().mVersion, 4U);
  EXPECT_NE(follower.Current().mDocument->FindAccountByKey(HashApiKey("key-2")),
            nullptr);
  // Two or three reads of the head, the change row and the section row.
  EXPECT_LE(follower.Counters().mRowsRead - before, 5U);
  EXPECT_EQ(follower.Counters().mScansStarted, 1U);
}

// Guards against applying an empty document, which has no accounts, because a
// replica without rows answered first.
TEST_F(config_follower_test, IsNotReadyOnEmptyTable)
{
  config_follower follower({});
  Run(follower, seconds(3));
  EXPECT_FALSE(follower.Ready());
  PutInitialDocument();
  Run(follower, seconds(3));
  EXPECT_EQ(follower.Current().mVersion, 3U);
}

// Guards against a node that fails or drops its document when it reads a row
// written in a newer format, and against a node that does not recover once the
// row is readable again.
TEST_F(config_follower_test, KeepsDocumentWhenStoredOneIsUnreadable)
{
  PutInitialDocument();
  config_follower follower({});
  Run(follower, seconds(1));
  Put("accounts/clinic", AccountText("key-2"), 3);
  const std::string key = ConfigSectionKey("accounts/clinic");
  const std::string readable = mTable.mRows[key].mValue;
  std::string newer = readable;
  newer.replace(newer.find("\"format\":1"), 10, "\"format\":2");
  Overwrite(key, newer);
  Run(follower, seconds(10));
  EXPECT_EQ(follower.Current().mVersion, 3U);
  EXPECT_EQ(follower.Counters().mRejected, 1U);
  EXPECT_EQ(follower.Counters().mUnreadableRows, 1U);
  EXPECT_NE(follower.LastError().find("newer format"), std::string::npos);
  Overwrite(key, readable);
  Put("accounts/a", AccountText("key-a"), 0);
  Run(follower, seconds(5));
  EXPECT_EQ(follower.Current().mVersion, 5U);
}

// Guards against applying an invalid stored document.
TEST_F(config_follower_test, KeepsDocumentWhenStoredOneIsInvalid)
{
  PutInitialDocument();
  config_follower follower({});
  Run(follower, seconds(1));
  Put("accounts/clinic", AccountText("key-2"), 3);
  Overwrite(ConfigSectionKey("accounts/clinic"),
            WriteConfigSection({ "accounts/clinic", 4, "{}" }));
  Run(follower, seconds(10));
  EXPECT_EQ(follower.Current().mVersion, 3U);
  EXPECT_EQ(follower.Counters().mRejected, 1U);
  EXPECT_NE(follower.LastError().find("missing key"), std::string::npos);
}

// Guards against a node reverting to an older version because of a lagging
// replica or a late reply.
TEST_F(config_follower_test, IgnoresOlderRows)
{
  PutInitialDocument();
  config_follower follower({});
  Run(follower, seconds(1));
  const auto old = mTable.mRows;
  Put("accounts/clinic", AccountText("key-2"), 3);
  Run(follower, seconds(4));
  std::vector<table_row> rows;
  for (const auto& [key, row] : old) {
    rows.push_back(row);
  }
  follower.OnRead(999, rows, mNow);
  follower.OnScan(999, rows, mNow);
  Run(follower, seconds(4));
  EXPECT_EQ(follower.Current().mVersion, 4U);
  EXPECT_GT(follower.Counters().mStaleRows, 0U);
}

// Guards against applying a document that never existed: a new head combined
// with old sections that a lagging replica returned to the start-up scan.
TEST_F(config_follower_test, RejectsSectionsOlderThanHead)
{
  PutInitialDocument();
  const auto old = mTable.mRows;
  Put("accounts/clinic", AccountText("key-2"), 3);
  config_follower follower({});
  for (; follower.Counters().mScansStarted == 0; mNow += milliseconds(10)) {
    const config_requests requests = follower.Tick(mNow);
    Answer(follower, { requests.mReads, {} });
    for (const config_scan& scan : requests.mScans) {
      follower.OnScan(scan.mRequest, fake_table::Scan(old, scan.mScan), mNow);
    }
  }
  follower.Tick(mNow);
  EXPECT_FALSE(follower.Ready());
  EXPECT_EQ(follower.Counters().mDigestMismatches, 1U);
  Run(follower, seconds(2));
  EXPECT_EQ(follower.Current().mVersion, 4U);
}

// Guards against unbounded reads after a long partition, and against reading
// thousands of changes one by one where a scan reads fewer rows.
TEST_F(config_follower_test, BoundsReadsWhenFarBehind)
{
  PutInitialDocument();
  config_follower_options options;
  options.mMaxRowsPerTick = 8;
  options.mScanPageRows = 2;
  options.mMaxChangesBehind = 20;
  config_follower follower(options);
  Run(follower, seconds(1));
  std::uint64_t version = 3;
  const auto change = [&](int aTimes) {
    for (int i = 0; i < aTimes; ++i) {
      version =
        Put("accounts/clinic", AccountText("key-1", 1 + i), version).mVersion;
    }
  };
  change(18);
  mLargestRead = 0;
  Run(follower, seconds(4));
  EXPECT_EQ(follower.Current().mVersion, version);
  EXPECT_EQ(mLargestRead, 8U);
  EXPECT_EQ(follower.Counters().mScansStarted, 1U);
  change(25);
  Run(follower, seconds(4));
  EXPECT_EQ(follower.Current().mVersion, version);
  EXPECT_EQ(follower.Counters().mScansStarted, 2U);
}

// Guards against a node that never becomes ready because every reply of a slow
// store arrives after the reply timeout.
TEST_F(config_follower_test, BecomesReadyFromSlowStore)
{
  PutInitialDocument();
  config_follower_options options;
  options.mScanPageRows = 1;
  config_follower follower(options);
  std::multimap<time_point, config_requests> delayedReplies;
  for (const time_point end = mNow + seconds(40); mNow < end;
       mNow += milliseconds(10)) {
    delayedReplies.emplace(mNow + seconds(3), follower.Tick(mNow));
    while (delayedReplies.begin()->first <= mNow) {
      Answer(follower, delayedReplies.begin()->second);
      delayedReplies.erase(delayedReplies.begin());
    }
  }
  EXPECT_EQ(follower.Current().mVersion, 3U);
}

// Guards against a wrong hint that causes unbounded polls or keeps a node from
// becoming ready.
TEST_F(config_follower_test, PollsForHintsWithinBounds)
{
  PutInitialDocument();
  config_follower follower({});
  follower.OnHint(1000, mNow);
  Run(follower, seconds(1));
  EXPECT_FALSE(follower.Ready());
  Run(follower, seconds(6));
  EXPECT_EQ(follower.Current().mVersion, 3U);
  EXPECT_LT(follower.Counters().mRowsRead, 25U);
  Put("accounts/clinic", AccountText("key-2"), 3);
  follower.OnHint(1004, mNow);
  Run(follower, milliseconds(400));
  EXPECT_EQ(follower.Current().mVersion, 4U);
}

// Guards against an edit that overwrites a newer version of its section.
TEST_F(config_follower_test, EditorReportsConflictWithBothVersions)
{
  PutInitialDocument();
  Put("accounts/clinic", AccountText("key-2"), 3);
  const edit_outcome outcome = Put("accounts/clinic", AccountText("key-3"), 3);
  EXPECT_EQ(outcome.mStatus, edit_status::Conflict);
  EXPECT_EQ(outcome.mBaseVersion, 3U);
  EXPECT_EQ(outcome.mStoredVersion, 4U);
  EXPECT_EQ(outcome.mStoredText, AccountText("key-2"));
}

// Guards against an edit that is applied twice, or reported as not applied,
// when the reply to its commit is lost.
TEST_F(config_follower_test, EditorRepeatsTransactionAfterLostReply)
{
  PutInitialDocument();
  mEditor.Put(
    { "accounts/clinic", AccountText("key-2"), 3, "ops", "secret", "" },
    {},
    mNow,
    mNow + seconds(10));
  std::vector<transaction_id> sentIds;
  for (; !mEditor.Outcome() && sentIds.size() < 3; mNow += milliseconds(10)) {
    const config_editor_requests requests = mEditor.Tick(mNow);
    Answer(mEditor, requests.mRows);
    if (!requests.mCommit) {
      continue;
    }
    const auto reply = mTable.Commit(*requests.mCommit, mNow);
    sentIds.push_back(requests.mCommit->mId);
    if (sentIds.size() == 1) {
      mEditor.OnCommit(sentIds[0], table_error::Timeout, mNow);
    } else if (sentIds.size() == 3) {
      mEditor.OnCommit(sentIds[2], reply, mNow);
    }
  }
  ASSERT_EQ(sentIds.size(), 3U);
  EXPECT_EQ(sentIds[0], sentIds[2]);
  EXPECT_EQ(mEditor.Outcome()->mStatus, edit_status::Committed);
  EXPECT_EQ(mEditor.Outcome()->mVersion, 4U);
  EXPECT_FALSE(mTable.mRows.contains(ConfigChangeKey(5)));
}

// Guards against a team changing a section that another team owns.
TEST_F(config_follower_test, EditorChecksOwner)
{
  PutInitialDocument();
  const auto status = [this](const char* aSection, const char* aSecret) {
    mEditor.Put({ aSection, "{}", 0, "clinic", aSecret, "" },
                {},
                mNow,
                mNow + seconds(1));
    return mEditor.Outcome() ? mEditor.Outcome()->mStatus
                             : edit_status::Unknown;
  };
  EXPECT_EQ(status("billing", "s2"), edit_status::Forbidden);
  EXPECT_EQ(status("accounts/clinic", "wrong"), edit_status::Forbidden);
  EXPECT_EQ(status("accounts/clinic", "s2"), edit_status::Invalid);
}

// Guards against an edit that is valid by itself but breaks a reference from
// another section.
TEST_F(config_follower_test, EditorChecksTheWholeDocument)
{
  PutInitialDocument();
  const edit_outcome outcome = Put("billing", std::nullopt, 2);
  EXPECT_EQ(outcome.mStatus, edit_status::Invalid);
  EXPECT_NE(outcome.mMessage.find("unknown budget"), std::string::npos);
  EXPECT_EQ(Put("accounts/clinic", std::nullopt, 3).mVersion, 4U);
  EXPECT_EQ(Put("billing", std::nullopt, 2).mVersion, 5U);
}

TEST(ConfigHistory, ListsNewestChangesFirst)
{
  EXPECT_EQ(HistoryKeys(2, 5),
            (std::vector<std::string>{ "config/change/000000000002",
                                       "config/change/000000000001" }));
}

TEST(TextDiff, ShowsChangedLinesWithContext)
{
  EXPECT_EQ(DiffText("a\nb\nc\nd\ne\n", "a\nb\nx\nd\ne\n", 1),
            " b\n-c\n+x\n d\n");
  EXPECT_EQ(DiffText("a\nb\n", "a\nnew\nb\n", 0), "+new\n");
  EXPECT_EQ(DiffText("same\n", "same\n"), "");
  EXPECT_EQ(DiffText("", "a\n"), "+a\n");
}
