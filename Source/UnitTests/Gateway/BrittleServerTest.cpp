#include <algorithm>
#include <deque>

#include "GatewayFixture.h"

namespace {

using std::chrono::milliseconds;

/// Servers that say how many requests a second they can turn away.
class brittle_server_test : public gateway_fixture
{
protected:
  struct server_record
  {
    unsigned mRunning = 0;
    std::deque<time_point> mRejections;
    /// Times at which it turned more requests away in a second than it can.
    unsigned mFalls = 0;
  };

  ~brittle_server_test() override { mSecondNode.reset(); }

  /// Adds a server with eight slots and no queue.
  void AddBrittleServer(const std::string& aId)
  {
    mRecords.push_back(std::make_unique<server_record>());
    server_record& record = *mRecords.back();
    AddServer(aId, "app").mScript =
      [this, &record](http_server_connection& aConnection,
                      const http_server_request& aRequest) {
        http_server_response response;
        scripted_server::Sign(response, aRequest);
        response.mHeaders.emplace_back("Server-Brittle",
                                       std::to_string(kMaxRejections));
        if (record.mRunning >= kRoom) {
          Reject(record);
          response.mStatus = 503;
          response.mHeaders.emplace_back("Lentilswitch-Not-Executed", "1");
          aConnection.Respond(response, {});
          return;
        }
        ++record.mRunning;
        mRuns.push_back(
          { mTime.Now() + kWorkTime, [&record, response, &aConnection] {
             --record.mRunning;
             aConnection.Respond(response, "done");
           } });
      };
  }

  /// Adds a server that refuses all requests with the header.
  scripted_server& AddRefusingServer(const std::string& aName,
                                     const std::string& aValue)
  {
    scripted_server& server = AddServer("i-1", "app");
    server.mScript = [aName, aValue](http_server_connection& aConnection,
                                     const http_server_request& aRequest) {
      http_server_response response;
      scripted_server::Sign(response, aRequest);
      response.mStatus = 503;
      response.mHeaders.emplace_back("Lentilswitch-Not-Executed", "1");
      response.mHeaders.emplace_back(aName, aValue);
      aConnection.Respond(response, {});
    };
    return server;
  }

  void Reject(server_record& aRecord)
  {
    const time_point now = mTime.Now();
    std::erase_if(aRecord.mRejections, [now](time_point aAt) {
      return now >= aAt + std::chrono::seconds(1);
    });
    aRecord.mRejections.push_back(now);
    if (aRecord.mRejections.size() > kMaxRejections) {
      ++aRecord.mFalls;
      aRecord.mRejections.clear();
    }
  }

  void StartNodes()
  {
    StartTwoNodes(mStore);
    mWorkTimer.Every(milliseconds(2), [this] {
      while (!mRuns.empty() && mTime.Now() >= mRuns.front().first) {
        const auto end = std::move(mRuns.front().second);
        mRuns.pop_front();
        end();
      }
    });
  }

  /// Sends requests at both nodes in turn at an even rate.
  void SendTraffic(milliseconds aTime, milliseconds aInterval)
  {
    for (milliseconds sent(0); sent < aTime; sent += aInterval) {
      std::swap(mNode, mSecondNode);
      mTraffic.push_back(BeginAtSecondNode("/o/x"));
      RunFor(aInterval);
    }
  }

  static constexpr unsigned kRoom = 8;
  static constexpr std::size_t kMaxRejections = 3;
  static constexpr milliseconds kWorkTime{ 250 };

  std::vector<std::unique_ptr<server_record>> mRecords;
  std::deque<std::pair<time_point, std::function<void()>>> mRuns;
  loop_timer mWorkTimer;
  std::vector<std::unique_ptr<client_exchange>> mTraffic;
};

} // namespace

// Guards against servers that fall over because nodes send them more than they
// have room for, again and again.
TEST_F(brittle_server_test, OverloadDoesNotFellServers)
{
  for (const char* id : { "i-1", "i-2", "i-3" }) {
    AddBrittleServer(id);
  }
  StartNodes();
  // The servers have room for 96 requests a second.
  SendTraffic(milliseconds(1000), milliseconds(40));
  SendTraffic(milliseconds(4000), milliseconds(5));
  unsigned falls = 0;
  for (const auto& record : mRecords) {
    falls += record->mFalls;
  }
  EXPECT_LE(falls, 2U);
  RunFor(milliseconds(1000));
  const auto served =
    std::ranges::count_if(mTraffic, [](const auto& aExchange) {
      return aExchange->mResponse.mStatus == 200;
    });
  // Half of what the servers could do in the time.
  EXPECT_GE(served, 190);
}

// Guards against servers that fall over at large sites, because other nodes
// learn only with their next reports that a server had no room.
TEST_F(brittle_server_test, OtherNodesPauseAtOnce)
{
  scripted_server& server = AddRefusingServer("Server-Brittle", "3");
  StartTwoNodes(mStore);
  for (unsigned round = 0; round < 4; ++round) {
    const std::size_t before = server.mRequests.size();
    Call("POST", "/o/x", {}, "b");
    ASSERT_EQ(server.mRequests.size(), before + 1);
    RunFor(milliseconds(50));
    const auto exchange = BeginAtSecondNode("/o/x");
    ASSERT_TRUE(RunUntil([&] { return exchange->Ended(); }));
    EXPECT_EQ(exchange->mResponse.mStatus, 503U);
    EXPECT_EQ(server.mRequests.size(), before + 1);
    RunFor(milliseconds(1200));
  }
}

// Guards against requests to a server that asked for a pause.
TEST_F(brittle_server_test, ServersGetThePauseThatTheyAskFor)
{
  scripted_server& server = AddRefusingServer("Retry-After", "1.5");
  StartNode();
  EXPECT_EQ(Call("POST", "/o/x", {}, "b")->mResponse.mStatus, 503U);
  EXPECT_EQ(server.mRequests.size(), 1U);
  for (unsigned i = 0; i < 4; ++i) {
    EXPECT_EQ(Call("POST", "/o/x", {}, "b")->mResponse.mStatus, 503U);
    RunFor(milliseconds(200));
  }
  EXPECT_EQ(server.mRequests.size(), 1U);
  RunFor(milliseconds(900));
  Call("POST", "/o/x", {}, "b");
  EXPECT_EQ(server.mRequests.size(), 2U);
}
