#include "Remote/MemoryTable.h"

#include <gtest/gtest.h>

#include "Remote/TableJson.h"

namespace {

table_transaction Put(std::uint64_t aId,
                      const std::string& aKey,
                      std::uint64_t aVersion,
                      const std::string& aValue)
{
  return { { 0, aId }, { { aKey, aVersion } }, { { aKey, aValue } } };
}

} // namespace

// Guards against a transaction that is applied twice when its commit is
// repeated.
TEST(MemoryTable, RepeatedIdentityGetsTheFirstOutcome)
{
  memory_table table;
  const table_transaction transaction = Put(1, "a", 0, "x");
  const commit_reply first = table.Commit(transaction);
  EXPECT_TRUE(first.mCommitted);
  EXPECT_EQ(table.Commit(transaction), first);
  EXPECT_EQ(table.Version(), 1U);
  const table_transaction conflict = Put(2, "a", 0, "y");
  EXPECT_FALSE(table.Commit(conflict).mCommitted);
  table.Commit({ { 0, 3 }, {}, { { "a", std::nullopt } } });
  EXPECT_FALSE(table.Commit(conflict).mCommitted);
}

// Guards against a transaction that is applied in part.
TEST(MemoryTable, OneFailedConditionWritesNothing)
{
  memory_table table;
  table.Commit(Put(1, "a", 0, "x"));
  table_transaction both = Put(2, "b", 0, "y");
  both.mConditions.push_back({ "a", 7 });
  EXPECT_FALSE(table.Commit(both).mCommitted);
  EXPECT_EQ(table.Read({ "b" })[0].mVersion, 0U);
}

// Guards against a stale condition that holds again after its row was deleted
// and written anew.
TEST(MemoryTable, VersionsNeverRepeat)
{
  memory_table table;
  table.Commit(Put(1, "a", 0, "x"));
  table.Commit({ { 0, 2 }, {}, { { "a", std::nullopt } } });
  table.Commit(Put(3, "a", 0, "z"));
  EXPECT_FALSE(table.Commit(Put(4, "a", 1, "stale")).mCommitted);
}

// Guards against pages of a scan that skip or repeat rows or leave the prefix.
TEST(MemoryTable, ScanContinuesAfterLastKeyWithinPrefix)
{
  memory_table table;
  std::uint64_t id = 1;
  for (const char* key : { "a/1", "a/2", "a/3", "b/1" }) {
    table.Commit(Put(id++, key, 0, "x"));
  }
  const auto first = table.Scan({ "a/", "", 2 });
  ASSERT_EQ(first.size(), 2U);
  EXPECT_EQ(first[0].mKey, "a/1");
  const auto secondPage = table.Scan({ "a/", first[1].mKey, 9 });
  ASSERT_EQ(secondPage.size(), 1U);
  EXPECT_EQ(secondPage[0].mKey, "a/3");
}

// Guards against fields that are lost between client and service.
TEST(TableJson, TransactionsAndRowsRoundTrip)
{
  table_transaction transaction = Put(7, "k \"1\"\n", 3, "v\t{}");
  transaction.mId.mHigh = ~0ULL;
  transaction.mWrites.push_back({ "gone", std::nullopt });
  EXPECT_EQ(ParseCommitRequest(*WriteCommitRequest(transaction)), transaction);
  const std::vector<table_row> rows{ { "a", 0, "" }, { "b", ~0ULL, "x" } };
  EXPECT_EQ(ParseRowsReply(*WriteRowsReply(rows)), rows);
  const commit_reply reply{ true, 9 };
  EXPECT_EQ(ParseCommitReply(WriteCommitReply(reply)), reply);
}

// Guards against parsers that throw on invalid input.
TEST(TableJson, RejectsMalformedText)
{
  for (const char* text :
       { "", "[]", "{}", R"({"id":"12","conditions":[],"writes":[]})" }) {
    EXPECT_FALSE(ParseCommitRequest(text).has_value()) << text;
    EXPECT_FALSE(ParseRowsReply(text).has_value()) << text;
    EXPECT_FALSE(ParseScanRequest(text).has_value()) << text;
  }
  EXPECT_FALSE(WriteReadRequest({ "\xff" }).has_value());
}
