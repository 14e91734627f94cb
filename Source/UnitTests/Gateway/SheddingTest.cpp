#include <cmath>
#include <deque>

#include <fmt/format.h>

#include "Common/HttpHeaders.h"
#include "Gateway/PeerDatagram.h"
#include "GatewayFixture.h"

namespace {

using std::chrono::milliseconds;

/// A server with two slots, which answers after 200 ms, and three times as many
/// requests as it can serve.
class shedding_test : public gateway_fixture
{
protected:
  struct client
  {
    std::string mPath;
    std::unique_ptr<client_exchange> mFirst;
    std::unique_ptr<client_exchange> mSecond;
    std::optional<time_point> mComesBackAt;
  };

  void StartServer()
  {
    scripted_server& server = AddServer("i-1", "app");
    PutServer("i-1", server, "ready", 2);
    server.mScript = [this](http_server_connection& aConnection,
                            const http_server_request& aRequest) {
      http_server_response response;
      scripted_server::Sign(response, aRequest);
      mRuns.push_back(
        { mTime.Now() + milliseconds(200), [response, &aConnection] {
           aConnection.Respond(response, "done");
         } });
    };
    // Clients with more time left are told to come back.
    for (std::size_t at = mConfig.find("800"); at != std::string::npos;
         at = mConfig.find("800", at)) {
      mConfig.replace(at, 3, "7000");
    }
    StartNode();
    const auto offset = mStore.mTime;
    const time_point start = mTime.Now();
    mWorkTimer.Every(milliseconds(2), [this, offset, start] {
      mStore.mTime =
        offset + std::chrono::duration_cast<milliseconds>(mTime.Now() - start);
      while (!mRuns.empty() && mTime.Now() >= mRuns.front().first) {
        const auto end = std::move(mRuns.front().second);
        mRuns.pop_front();
        end();
      }
    });
  }

  static bool IsShed(const client_exchange& aExchange)
  {
    return aExchange.mBody == R"({"error":"shed_by_rank"})";
  }

  /// Sends requests for the time; clients come back as told.
  void SendTraffic(milliseconds aTime)
  {
    const time_point end = mTime.Now() + aTime;
    for (int i = 0; mTime.Now() < end; ++i) {
      mClients.push_back({ fmt::format("/o/{}", i), nullptr, nullptr, {} });
      mClients.back().mFirst = BeginRequest("POST", mClients.back().mPath);
      RunFor(milliseconds(33));
      ComeBack();
    }
    RunFor(milliseconds(1000));
    ComeBack();
    RunFor(milliseconds(500));
  }

  void ComeBack()
  {
    for (client& client : mClients) {
      if (!IsShed(*client.mFirst) || client.mSecond) {
        continue;
      }
      const std::string delay(
        FindHeader(client.mFirst->mResponse.mHeaders, "Retry-After"));
      if (delay.empty()) {
        continue;
      }
      if (!client.mComesBackAt) {
        client.mComesBackAt =
          mTime.Now() + milliseconds(std::lround(std::stod(delay) * 1000.0));
      }
      // The loop above adds up to 33 ms.
      if (mTime.Now() + milliseconds(20) >= *client.mComesBackAt) {
        client.mSecond = BeginRequest("POST", client.mPath);
      }
    }
  }

  std::deque<std::pair<time_point, std::function<void()>>> mRuns;
  std::vector<client> mClients;
  loop_timer mWorkTimer;
};

} // namespace

// Guards against clients that are refused a second time although they came
// back as told.
TEST_F(shedding_test, ClientsThatComeBackAreAdmitted)
{
  mSettings.mShedByRank = true;
  StartServer();
  SendTraffic(milliseconds(5000));
  int shed = 0;
  int cameBack = 0;
  for (const client& client : mClients) {
    shed += IsShed(*client.mFirst) ? 1 : 0;
    if (client.mSecond) {
      ++cameBack;
      EXPECT_FALSE(IsShed(*client.mSecond)) << client.mPath;
    }
  }
  EXPECT_GT(shed, 20);
  EXPECT_GT(cameBack, 0);
}

// Guards against shedding without the setting.
TEST_F(shedding_test, NothingIsShedWithoutTheSetting)
{
  StartServer();
  SendTraffic(milliseconds(1500));
  for (const client& client : mClients) {
    EXPECT_FALSE(IsShed(*client.mFirst)) << client.mPath;
  }
}

// Guards against reports that nodes cannot read, and against damage that ends
// the process.
TEST(OfferedNoticeTest, SurvivesTheWire)
{
  const offered_notice notice{
    0x80706050,
    { { 513, offered_kind::Account, 3, 0xfedcba98, 12.5F, 40, 0.0F } }
  };
  const std::string bytes = WritePeerDatagram(notice);
  EXPECT_EQ(bytes.size(), 20U);
  const auto parsed = ParsePeerDatagram(bytes);
  ASSERT_TRUE(parsed);
  EXPECT_EQ(std::get<offered_notice>(*parsed), notice);
  EXPECT_FALSE(ParsePeerDatagram(bytes.substr(0, 19)));
  EXPECT_FALSE(ParsePeerDatagram(bytes.substr(0, 6)));
}

// Guards against a value that is taken for the setting, and against an error
// without its place.
TEST(SheddingSettingsTest, SettingIsOptionalAndChecked)
{
  const auto parse = [](const std::string& aSetting) {
    return ParseGatewaySettings(
      R"({"name": "n", "zone": "z", "region": "r", "host": "10.0.0.1",
"listen": {"clients": "10.0.0.1:1", "readiness": "10.0.0.1:2",
"directory": "10.0.0.1:3"}, "peer_port": 4, "metrics_port": 5, "seeds": [],
"store": "10.0.0.1:6", "cpu_share": 1, "link_mbps": 10, "memory_mb": 88,
"leave_limit_ms": 2000, "config_limit_ms": 2000, "grace_s": 8,
)" + aSetting +
        R"("retry": {"ratio": 0.1, "allowance": 5, "window_s": 10}})",
      "s.json");
  };
  ASSERT_TRUE(parse("").has_value());
  EXPECT_FALSE(parse("").value().mShedByRank);
  ASSERT_TRUE(parse("\"shed_by_rank\": true,\n").has_value());
  EXPECT_TRUE(parse("\"shed_by_rank\": true,\n").value().mShedByRank);
  const auto refused = parse("\"shed_by_rank\": 1,\n");
  ASSERT_FALSE(refused.has_value());
  EXPECT_NE(refused.error().find("s.json:6: /shed_by_rank"), std::string::npos)
    << refused.error();
}
