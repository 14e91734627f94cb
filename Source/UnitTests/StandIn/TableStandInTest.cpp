#include "StandIn/TableStandIn.h"

#include <functional>
#include <memory>
#include <optional>

#include <gtest/gtest.h>

#include "Common/EventLoop.h"
#include "Remote/HttpTableService.h"

namespace {

using std::chrono::milliseconds;
using commit_result = result<commit_reply, table_error>;

constexpr milliseconds kWait{ 5000 };

table_transaction Put(std::uint64_t aId, std::uint64_t aVersion)
{
  return { { 0, aId }, { { "row", aVersion } }, { { "row", "value" } } };
}

/// The table stand-in over HTTP and in process, under the same tests.
class table_stand_in_test : public testing::TestWithParam<bool>
{
protected:
  void Start(table_stand_in_options aOptions = {})
  {
    mTable = std::make_unique<table_stand_in>(aOptions);
    ASSERT_TRUE(mTable->Server().Start().has_value());
    if (GetParam()) {
      mService = std::make_unique<http_table_service>(
        mClient,
        platform_endpoint{ mTable->Server().Address(), milliseconds(1000) });
    } else {
      mService = std::make_unique<memory_table_service>(*mTable);
    }
  }

  commit_result Commit(const table_transaction& aTransaction)
  {
    std::optional<commit_result> reply;
    mService->Commit(aTransaction,
                     [&](commit_result aReply) { reply = aReply; });
    EXPECT_FALSE(reply.has_value()) << "called back from inside the call";
    EXPECT_TRUE(mLoop.RunUntil([&] { return reply.has_value(); }, kWait));
    return *reply;
  }

  std::vector<table_row> Scan()
  {
    std::vector<table_row> rows;
    bool done = false;
    mService->Scan({ "r", "", 10 }, [&](auto aRows) {
      rows = aRows.value();
      done = true;
    });
    EXPECT_TRUE(mLoop.RunUntil([&] { return done; }, kWait));
    return rows;
  }

  event_loop mLoop;
  http_client mClient;
  std::unique_ptr<table_stand_in> mTable;
  std::unique_ptr<table_service> mService;
};

INSTANTIATE_TEST_SUITE_P(Transports,
                         table_stand_in_test,
                         testing::Bool(),
                         [](const auto& aInfo) {
                           return aInfo.param ? "Http" : "Memory";
                         });

} // namespace

// Guards against a write that is applied twice because its reply was lost.
TEST_P(table_stand_in_test, LostReplyIsTimeoutAndTheRepeatSettlesIt)
{
  Start();
  mTable->Faults().mLoseReplies = 1;
  EXPECT_EQ(Commit(Put(1, 0)).error(), table_error::Timeout);
  EXPECT_EQ(mTable->Table().Version(), 1U);
  const commit_result again = Commit(Put(1, 0));
  ASSERT_TRUE(again.has_value());
  EXPECT_TRUE(again.value().mCommitted);
  EXPECT_EQ(again.value().mVersion, 1U);
  EXPECT_EQ(mTable->Table().Version(), 1U);
}

// Guards against a conflict reported as an error or as success.
TEST_P(table_stand_in_test, ConflictIsAReply)
{
  Start();
  EXPECT_TRUE(Commit(Put(1, 0)).value().mCommitted);
  EXPECT_FALSE(Commit(Put(2, 0)).value().mCommitted);
  EXPECT_EQ(mTable->Counters().mConflicts, 1U);
  const auto rows = Scan();
  ASSERT_EQ(rows.size(), 1U);
  EXPECT_EQ(rows[0], (table_row{ "row", 1, "value" }));
}

// Guards against a rate limit taken for an outage or for a lost reply.
TEST_P(table_stand_in_test, RateLimitedCommitIsNotApplied)
{
  Start({ .mReadsPerSecond = 0, .mWritesPerSecond = 1 });
  EXPECT_TRUE(Commit(Put(1, 0)).has_value());
  EXPECT_EQ(Commit(Put(2, 1)).error(), table_error::RateLimited);
  EXPECT_EQ(mTable->Table().Version(), 1U);
}

TEST_P(table_stand_in_test, DownIsUnavailableAndNotApplied)
{
  Start();
  mTable->Faults().mDown = true;
  EXPECT_EQ(Commit(Put(1, 0)).error(), table_error::Unavailable);
  mTable->Faults().mDown = false;
  EXPECT_EQ(mTable->Table().Version(), 0U);
}

// Guards against a callback into the user of a destroyed service.
TEST_P(table_stand_in_test, NoCallbackAfterTheServiceIsDestroyed)
{
  Start();
  // Over HTTP the call is under way when it is cancelled, in process it is
  // about to be answered.
  mTable->Faults().mDelay = milliseconds(GetParam() ? 3600000 : 0);
  bool called = false;
  mService->Commit(Put(1, 0), [&](commit_result) { called = true; });
  if (GetParam()) {
    mLoop.RunUntil([] { return false; }, milliseconds(50));
  }
  mService.reset();
  mLoop.RunUntil([] { return false; }, milliseconds(60));
  EXPECT_FALSE(called);
}

namespace {

class http_table_test : public table_stand_in_test
{};

INSTANTIATE_TEST_SUITE_P(Http, http_table_test, testing::Values(true));

} // namespace

// Guards against a slow commit reported as not applied: it is applied later.
TEST_P(http_table_test, SlowCommitIsTimeoutAndAppliedLater)
{
  Start();
  mTable->Faults().mDelay = milliseconds(1500);
  EXPECT_EQ(Commit(Put(1, 0)).error(), table_error::Timeout);
  EXPECT_EQ(mTable->Table().Version(), 0U);
  EXPECT_TRUE(
    mLoop.RunUntil([&] { return mTable->Table().Version() == 1; }, kWait));
  mTable->Faults().mDelay = milliseconds(0);
  EXPECT_TRUE(Commit(Put(1, 0)).value().mCommitted);
  EXPECT_EQ(mTable->Table().Version(), 1U);
}

// Guards against a refused connection reported as unknown.
TEST_P(http_table_test, RefusedConnectionIsUnavailable)
{
  Start();
  mTable->Server().Stop();
  EXPECT_EQ(Commit(Put(1, 0)).error(), table_error::Unavailable);
  ASSERT_TRUE(mTable->Server().Restart().has_value());
  EXPECT_TRUE(Commit(Put(1, 0)).value().mCommitted);
}

// Guards against failures of the service reported as not applied, and against
// bodies that cannot be sent reported as applied.
TEST_P(http_table_test, StatusAndBodyDecideTheError)
{
  Start();
  unsigned status = 500;
  http_server server;
  server.Route("/v1/commit", [&](const http_server_exchange_ptr& aExchange) {
    aExchange->Reply(status, "application/json", "rubbish");
  });
  ASSERT_TRUE(server.Listen("127.0.0.1:0").has_value());
  mService = std::make_unique<http_table_service>(
    mClient, platform_endpoint{ server.Address() });
  const std::vector<std::pair<unsigned, table_error>> expected{
    { 500, table_error::Timeout },     { 502, table_error::Timeout },
    { 503, table_error::Unavailable }, { 429, table_error::RateLimited },
    { 400, table_error::Unavailable }, { 200, table_error::Malformed }
  };
  for (const auto& [code, error] : expected) {
    status = code;
    EXPECT_EQ(Commit(Put(1, 0)).error(), error) << code;
  }
}
