#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fmt/format.h>

#include "Gateway/PeerDatagram.h"
#include "GatewayFixture.h"

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReportPeriod(200);
// Time until a node notices that peers that report do not hear it.
constexpr milliseconds kUnheardTime(2500);

/// A node whose peers are reports that the test sends.
class endpoint_answers_test : public gateway_fixture
{
protected:
  ~endpoint_answers_test() override
  {
    mNode.reset();
    close(mSocket);
  }

  void Start(unsigned aLargePeers, unsigned aSmallPeers)
  {
    mSettings.mPeer.mPort = FreePort();
    mSettings.mDirectory.mPort = FreePort();
    mSettings.mCapacity = 0.05;
    scripted_server& server = AddServer("i-1", "app");
    server.mScript = [](http_server_connection& aConnection,
                        const http_server_request& aRequest) {
      http_server_response response;
      scripted_server::Sign(response, aRequest);
      aConnection.Respond(response, "done");
    };
    StartNode();
    mReportTimer.Every(kReportPeriod, [this, aLargePeers, aSmallPeers] {
      for (unsigned i = 0; i < aLargePeers + aSmallPeers; ++i) {
        SendReport(i, i < aLargePeers ? 0.5 : 0.05);
      }
    });
    RunFor(milliseconds(2000));
  }

  /// Addresses in the answer to clients.
  std::string Ask()
  {
    client_exchange exchange;
    http_client_connection connection(mSettings.mDirectory, tcp_liveness{});
    connection.Start("GET /v1/resolve?name=a.example&zone=z1 HTTP/1.1\r\n"
                     "Host: a\r\n\r\n",
                     {},
                     false,
                     exchange);
    EXPECT_TRUE(RunUntil([&] { return exchange.Ended(); }));
    return exchange.mBody;
  }

  /// Whether the node keeps the connection of a request open.
  bool KeepsConnection()
  {
    const auto exchange =
      Call("POST",
           "/o/x",
           fmt::format("Lentilswitch-Request-Id: r{}\r\n", ++mLastRequestId),
           "b");
    EXPECT_EQ(exchange->mResponse.mStatus, 200U);
    return exchange->mResponse.mKeepAlive;
  }

  bool mPeersHearNode = true;

private:
  void SendReport(unsigned aPeer, double aCapacity)
  {
    node_report report;
    report.mAddress = fmt::format("127.0.1.{}:9", aPeer + 1);
    report.mClientAddress = fmt::format("10.0.0.{}:80", aPeer + 1);
    report.mReady = true;
    report.mCapacity = aCapacity;
    report.mZone = zone_id{ "z1" };
    if (mPeersHearNode) {
      report.mPeers.emplace_back(NodeKey(FormatTcpAddress(mSettings.mPeer)),
                                 milliseconds(100));
    }
    const std::string bytes = WritePeerDatagram(report);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(mSettings.mPeer.mPort);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    sendto(mSocket,
           bytes.data(),
           bytes.size(),
           0,
           reinterpret_cast<const sockaddr*>(&to),
           sizeof(to));
  }

  int mSocket = socket(AF_INET, SOCK_DGRAM, 0);
  loop_timer mReportTimer;
};

} // namespace

// Guards against clients that stay at a host after it left the answers, and
// against answers that name small hosts beside large ones.
TEST_F(endpoint_answers_test, AHostThatLeftTheAnswersClosesItsConnections)
{
  Start(4, 14);
  const std::string answer = Ask();
  for (unsigned i = 0; i < 18; ++i) {
    const auto address = fmt::format("\"10.0.0.{}:80\"", i + 1);
    EXPECT_EQ(answer.find(address) != std::string::npos, i < 4) << answer;
  }
  EXPECT_TRUE(KeepsConnection());
  mPeersHearNode = false;
  RunFor(kUnheardTime);
  EXPECT_FALSE(KeepsConnection());
}

// Guards against closed connections in fleets whose answers name all hosts.
TEST_F(endpoint_answers_test, ASmallFleetKeepsItsConnections)
{
  Start(2, 8);
  const std::string answer = Ask();
  for (unsigned i = 0; i < 10; ++i) {
    const auto address = fmt::format("\"10.0.0.{}:80\"", i + 1);
    EXPECT_NE(answer.find(address), std::string::npos) << answer;
  }
  mPeersHearNode = false;
  RunFor(kUnheardTime);
  EXPECT_TRUE(KeepsConnection());
}
