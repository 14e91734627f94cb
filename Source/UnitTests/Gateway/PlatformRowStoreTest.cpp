#include <fmt/format.h>
#include <gtest/gtest.h>

#include "Common/EventLoop.h"
#include "Net/HttpListener.h"
#include "platform/PlatformRowStore.h"

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTestTimeout(3000);

/// Answers every call with one status and body.
class store_server final : public http_request_handler
{
public:
  explicit store_server(const time_source& aTime)
  {
    std::string error;
    mListener = http_listener::Listen({ "127.0.0.1", 0 }, *this, aTime, error);
  }
  void OnRequest(http_server_connection& aConnection,
                 http_server_request aRequest) override
  {
    mRequests.push_back(std::move(aRequest));
    if (mSilent) {
      return;
    }
    http_server_response response;
    if (mCopiedStatus != 0 && mLast != nullptr) {
      response.mStatus = mCopiedStatus;
      mLast->Respond(response, mBody);
    }
    mLast = &aConnection;
    response.mStatus = mStatus;
    if (!mEra.empty()) {
      response.mHeaders.emplace_back("Store-Era", mEra);
    }
    if (mSlow) {
      response.mFraming = body_framing::Chunked;
      aConnection.StartResponse(response);
      mTimer.Every(mWriteInterval, [this, &aConnection] {
        if (mNeverEnds) {
          aConnection.WriteBody(" ");
          return;
        }
        if (mBody.empty()) {
          mTimer.Cancel();
          aConnection.FinishBody();
          return;
        }
        aConnection.WriteBody(mBody.substr(0, 6));
        mBody.erase(0, 6);
      });
      return;
    }
    aConnection.Respond(response, mBody);
  }
  void OnClientDisconnected(http_server_connection&) override {}
  void OnClientDrained(http_server_connection&) override {}
  void OnConnectionClosed(http_server_connection& aConnection) override
  {
    if (mLast == &aConnection) {
      mLast = nullptr;
    }
  }

  std::unique_ptr<http_listener> mListener;
  std::vector<http_server_request> mRequests;
  http_server_connection* mLast = nullptr;
  /// Status of an earlier reply that is sent once more, on the connection of
  /// the last call, before the next reply; none if 0.
  unsigned mCopiedStatus = 0;
  unsigned mStatus = 200;
  std::string mBody;
  std::string mEra;
  bool mSilent = false;
  /// Sends six bytes in each interval.
  bool mSlow = false;
  milliseconds mWriteInterval{ 300 };
  /// Sends one byte in each interval instead and does not end the body.
  bool mNeverEnds = false;
  loop_timer mTimer;
};

class platform_row_store_test : public testing::Test
{
protected:
  result<row_commit_reply, row_store_error> Commit()
  {
    row_transaction transaction;
    transaction.mConditions.push_back({ { "t", "p", "k" }, 3 });
    transaction.mWrites.push_back({ { "t", "p", "k" }, "value" });
    std::optional<result<row_commit_reply, row_store_error>> reply;
    mStore.Commit(transaction, [&](auto aResult) { reply = aResult; });
    EXPECT_TRUE(
      mLoop.RunUntil([&] { return reply.has_value(); }, kTestTimeout));
    return *reply;
  }

  result<row_page, row_store_error> ReadTable()
  {
    std::optional<result<row_page, row_store_error>> reply;
    mStore.Read("t", "", "", [&](auto aResult) { reply = aResult; });
    EXPECT_TRUE(
      mLoop.RunUntil([&] { return reply.has_value(); }, kTestTimeout));
    return *reply;
  }

  event_loop mLoop;
  system_time_source mTime;
  store_server mServer{ mTime };
  platform_row_store mStore{ mServer.mListener->Address(), mTime };
};

} // namespace

// Guards against a new connection for every call, and against a lost version or
// store time.
TEST_F(platform_row_store_test, CommitsAndKeepsTheConnection)
{
  mServer.mBody = R"({"ver":412,"nowMs":5})";
  for (int i = 0; i < 3; ++i) {
    const auto commit = Commit();
    ASSERT_TRUE(commit.has_value());
    EXPECT_TRUE(commit.value().mCommitted);
    EXPECT_EQ(commit.value().mVersion, 412U);
    // Without the store's clock an expired claim could be taken over, with
    // tokens that were spent.
    EXPECT_EQ(commit.value().mStoreTime, milliseconds(5));
  }
  EXPECT_EQ(mServer.mListener->Open(), 1U);
  EXPECT_EQ(mServer.mRequests[0].mTarget, "/v1/rows-tx");
  EXPECT_NE(mServer.mRequests[0].mBody.find("\"value\":\"dmFsdWU=\""),
            std::string::npos);
}

// Guards against a failed condition without the current row, which the caller
// needs to try again.
TEST_F(platform_row_store_test, ReadsTheRowsOfAFailedCondition)
{
  mServer.mStatus = 412;
  mServer.mBody = R"({"ver":9,"nowMs":5,"rows":[{"table":"t","part":"p",)"
                  R"("key":"k","value":"bm9kZS0x","ver":8}]})";
  const auto commit = Commit();
  ASSERT_TRUE(commit.has_value());
  EXPECT_FALSE(commit.value().mCommitted);
  ASSERT_EQ(commit.value().mCurrent.size(), 1U);
  EXPECT_EQ(commit.value().mCurrent[0].mValue, "node-1");
  EXPECT_EQ(commit.value().mCurrent[0].mVersion, 8U);
}

// Guards against an unanswered write taken as refused: only a refusal promises
// that nothing was written.
TEST_F(platform_row_store_test, DistinguishesRefusalFromNoReply)
{
  mServer.mStatus = 503;
  EXPECT_EQ(Commit().error(), row_store_error::Refused);
  mServer.mStatus = 429;
  EXPECT_EQ(Commit().error(), row_store_error::Refused);
  mServer.mStatus = 500;
  EXPECT_EQ(Commit().error(), row_store_error::Unknown);
  mServer.mSilent = true;
  EXPECT_EQ(Commit().error(), row_store_error::Unknown);
}

// Guards against a write that is taken for refused, though the store has
// applied it: the reply to an earlier call is sent once more on its connection.
TEST_F(platform_row_store_test, CopyOfARefusalIsNotTheNextReply)
{
  mServer.mBody = R"({"ver":412,"nowMs":5})";
  for (const unsigned status : { 412U, 429U, 503U }) {
    SCOPED_TRACE(status);
    mServer.mStatus = status;
    const auto refused = Commit();
    EXPECT_FALSE(refused.has_value() && refused.value().mCommitted);
    mServer.mCopiedStatus = status;
    mServer.mStatus = 200;
    const auto commit = Commit();
    ASSERT_TRUE(commit.has_value());
    EXPECT_TRUE(commit.value().mCommitted);
    mServer.mCopiedStatus = 0;
  }
}

// Guards against a timeout on the whole call: over a slow link a long reply
// takes longer, and would be requested again and again.
TEST_F(platform_row_store_test, WaitsForAnAnswerThatKeepsArriving)
{
  mServer.mSlow = true;
  mServer.mBody = R"({"ver":412,"nowMs":5})";
  EXPECT_TRUE(Commit().has_value());
}

// Guards against lost changes: removals must be reported, and a dropped change
// history must be told from other errors.
TEST_F(platform_row_store_test, FollowsChangesUntilTheHistoryIsLost)
{
  mServer.mBody = R"({"ver":9,"nowMs":5,"rows":[{"table":"t","part":"",)"
                  R"("key":"k","ver":8,"removed":true}]})";
  std::optional<result<row_page, row_store_error>> reply;
  mStore.ReadChanges(
    "t", 7, milliseconds(500), [&](auto aResult) { reply = aResult; });
  ASSERT_TRUE(mLoop.RunUntil([&] { return reply.has_value(); }, kTestTimeout));
  ASSERT_TRUE(reply->has_value());
  EXPECT_TRUE(reply->value().mRows.at(0).mRemoved);
  EXPECT_EQ(mServer.mRequests[0].mTarget,
            "/v1/rows-feed?table=t&after=7&waitMs=500");
  reply.reset();
  mServer.mStatus = 410;
  mStore.ReadChanges(
    "t", 7, milliseconds(500), [&](auto aResult) { reply = aResult; });
  ASSERT_TRUE(mLoop.RunUntil([&] { return reply.has_value(); }, kTestTimeout));
  EXPECT_EQ(reply->error(), row_store_error::HistoryLost);
}

// Guards against a reply that never ends because a byte arrives now and then:
// the reader of a table would follow no further changes.
TEST_F(platform_row_store_test, EndsACallThatOnlyTrickles)
{
  mServer.mSlow = true;
  mServer.mNeverEnds = true;
  mServer.mWriteInterval = milliseconds(10);
  manual_time_source time;
  platform_row_store store(mServer.mListener->Address(), time);
  std::optional<result<row_page, row_store_error>> reply;
  store.Read("t", "", "", [&](auto aResult) { reply = aResult; });
  // Ten times as fast as the clock, so that each byte arrives within the
  // timeout.
  loop_timer clock;
  clock.Every(milliseconds(10), [&] { time.Advance(milliseconds(100)); });
  ASSERT_TRUE(mLoop.RunUntil([&] { return reply.has_value(); }, kTestTimeout));
  ASSERT_FALSE(reply->has_value());
  EXPECT_EQ(reply->error(), row_store_error::Unknown);
}

// Guards against a restored store that is not noticed, and against eras that
// fall back or are unreadable and are taken for a further restore.
TEST_F(platform_row_store_test, EraOnlyRises)
{
  mServer.mBody = R"({"ver":5,"nowMs":1000,"rows":[]})";
  for (const auto& [text, era] :
       std::vector<std::pair<std::string, std::uint64_t>>{
         { "", 0 }, { "3", 3 }, { "x", 3 }, { "2", 3 }, { "4", 4 } }) {
    mServer.mEra = text;
    EXPECT_TRUE(Commit().has_value());
    EXPECT_EQ(mStore.Era(), era) << text;
  }
}

// Guards against ages of rows that are off because the store's clock stood
// still between two replies.
TEST_F(platform_row_store_test, ClockGoesOnBetweenReplies)
{
  EXPECT_FALSE(mStore.Clock());
  mServer.mBody = R"({"ver":5,"nowMs":1000,"rows":[]})";
  EXPECT_TRUE(Commit().has_value());
  ASSERT_TRUE(mStore.Clock());
  EXPECT_GE(*mStore.Clock(), milliseconds(1000));
  mLoop.RunUntil([] { return false; }, milliseconds(200));
  EXPECT_GE(*mStore.Clock(), milliseconds(1200));
}

// Guards against a table that is followed no further because one of its rows
// cannot be read: the others hold, and a row whose value is no base64 has none
// that can be used.
TEST_F(platform_row_store_test, OneUnreadableRowLeavesTheOthers)
{
  const std::string sound =
    R"({"table":"t","part":"","key":"k","value":"bm9kZS0x","ver":8})";
  for (const std::string& odd : std::vector<std::string>{
         R"({"table":"t","part":"","key":"\ud800","value":"","ver":7})",
         "{\"table\":\"t\",\"key\":\"\xff\",\"value\":\"\",\"ver\":7}",
         R"({"table":"t","part":"","key":"o","value":"\u0000=!","ver":7})",
         R"({"table":"t","part":"","key":"o","value":7,"ver":7})",
         R"({"table":"t","part":"","key":7,"value":"","ver":7})",
         R"({"table":"t","part":[],"key":"o","value":"","ver":7})",
         R"({"table":"t","part":"","key":"o","value":"","ver":-1})",
         R"({"table":"t","part":"","key":"o","value":"","ver":1e30})",
         "[]",
         "7" }) {
    SCOPED_TRACE(odd);
    mServer.mBody =
      fmt::format(R"({{"ver":9,"nowMs":5,"rows":[{},{}]}})", odd, sound);
    const auto page = ReadTable();
    ASSERT_TRUE(page.has_value());
    ASSERT_FALSE(page.value().mRows.empty());
    EXPECT_EQ(page.value().mRows.back().mValue, "node-1");
  }
}

// Guards against a reply that is taken for a table although it is none, and
// against the end of the process by a nested one.
TEST_F(platform_row_store_test, UnreadableRepliesCountAsNone)
{
  const std::string nested =
    std::string(200000, '[') + std::string(200000, ']');
  for (const std::string& body : std::vector<std::string>{
         "",
         "[]",
         nested,
         R"({"ver":9,"nowMs":5,"rows":)" + nested + "}",
         R"({"ver":9,"nowMs":5,"rows":[{"table":"t","key":"k")",
         R"({"ver":9,"nowMs":5,"rows":7})",
         R"({"ver":"9","nowMs":5,"rows":[]})",
         R"({"ver":-9,"nowMs":5,"rows":[]})",
         R"({"ver":1e30,"nowMs":5,"rows":[]})",
         R"({"ver":1e999,"nowMs":5,"rows":[]})" }) {
    SCOPED_TRACE(body.substr(0, 40));
    mServer.mBody = body;
    const auto page = ReadTable();
    EXPECT_FALSE(page.has_value());
    EXPECT_FALSE(Commit().has_value());
  }
  mServer.mBody = R"({"ver":9,"nowMs":1e300,"rows":[]})";
  EXPECT_TRUE(ReadTable().has_value());
  EXPECT_FALSE(Commit().has_value());
}

// Guards against a conflict that is taken for a missing row, after which tokens
// would be granted again.
TEST_F(platform_row_store_test, UnreadableRowOfAConflictCountsAsNoReply)
{
  mServer.mStatus = 412;
  mServer.mBody =
    R"({"ver":9,"nowMs":5,"rows":[{"table":"t","part":"p","key":7}]})";
  EXPECT_FALSE(Commit().has_value());
}
