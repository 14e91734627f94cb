#include "GatewayFixture.h"

#include <random>

#include <fmt/format.h>

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTestTimeout(5000);
constexpr milliseconds kStorePeriod(2);
// Time in which nodes hear of each other.
constexpr milliseconds kReportTime(500);
// Below the range from which the kernel assigns ports.
constexpr std::uint16_t kFirstFreePort = 20000;
constexpr std::uint16_t kLastFreePort = 32000;

constexpr const char* kConfigText = R"({
  "version": 7,
  "routes": [
    {"name": "stream", "host": "a.example", "prefix": "/s/",
     "kind": "streaming", "timeoutMs": 2000, "targetLatencyMs": 600,
     "priority": 1, "service": "engine", "maxAttempts": 1, "sticky": true,
     "resumable": false, "gapAimMs": 500},
    {"name": "resume", "host": "a.example", "prefix": "/r/",
     "kind": "streaming", "timeoutMs": 2000, "targetLatencyMs": 600,
     "priority": 1, "service": "engine", "maxAttempts": 2, "sticky": true,
     "resumable": true, "gapAimMs": 500},
    {"name": "order", "host": "a.example", "prefix": "/o/",
     "kind": "non_idempotent", "timeoutMs": 800, "targetLatencyMs": 300,
     "priority": 2, "service": "app", "maxAttempts": 1},
    {"name": "look", "host": "a.example", "prefix": "/l/",
     "kind": "idempotent", "timeoutMs": 800, "targetLatencyMs": 300,
     "priority": 2, "service": "app", "maxAttempts": 2},
    {"name": "inner", "host": "a.example", "prefix": "/l/inner/",
     "kind": "idempotent", "timeoutMs": 800, "targetLatencyMs": 300,
     "priority": 2, "service": "app", "maxAttempts": 1, "public": true}
  ],
  "services": [
    {"name": "engine", "healthPath": "/health", "maxConns": 100,
     "engine": {"slots": 8, "kvCapacity": 100000, "stride": 5}},
    {"name": "app", "healthPath": "/health", "maxConns": 100}
  ],
  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
             "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
  "tenants": [
    {"name": "clinic", "apiKeys": ["key-1"], "prepaid": 100000},
    {"name": "small", "apiKeys": ["key-2"], "prepaid": 1000, "priority": 0}
  ]
})";

} // namespace

scripted_server::scripted_server(const time_source& aTime)
{
  std::string error;
  mListener = http_listener::Listen({ "127.0.0.1", 0 }, *this, aTime, error);
}

void scripted_server::OnRequest(http_server_connection& aConnection,
                                http_server_request aRequest)
{
  mRequests.push_back(aRequest);
  if (mScript) {
    mScript(aConnection, aRequest);
    return;
  }
  http_server_response response;
  Sign(response, aRequest);
  aConnection.Respond(response, "done");
}

void scripted_server::End()
{
  mEndTimer.Once(milliseconds(0), [this] { mListener.reset(); });
}

void scripted_server::Sign(http_server_response& aResponse,
                           const http_server_request& aRequest)
{
  aResponse.mHeaders.emplace_back(
    "Lentilswitch-Request-Id",
    std::string(FindHeader(aRequest.mHeaders, "Lentilswitch-Request-Id")));
  aResponse.mHeaders.emplace_back("Lentilswitch-Server-Stamp", "stamp");
}

void scripted_server::SendEvents(http_server_connection& aConnection,
                                 const http_server_request& aRequest,
                                 const std::string& aEvents)
{
  http_server_response head;
  Sign(head, aRequest);
  head.mHeaders.emplace_back("Content-Type", "text/event-stream");
  head.mFraming = body_framing::Chunked;
  aConnection.StartResponse(head);
  aConnection.WriteBody(aEvents);
}

gateway_fixture::gateway_fixture()
  : mConfig(kConfigText)
{
  mSettings.mName = "node-1";
  mSettings.mZone = zone_id{ "z1" };
  mSettings.mClientAddress = { "127.0.0.1", 0 };
  mSettings.mReadiness = { "127.0.0.1", 0 };
  mSettings.mDirectory = { "127.0.0.1", 0 };
  mSettings.mPeer = { "127.0.0.1", 0 };
  mSettings.mRetries.mAllowance = 100;
  mSettings.mGracePeriod = milliseconds(1000);
  mSettings.mMemoryBytes = 1000000;
  mStoreTimer.Every(kStorePeriod, [this] { mStore.DeliverReplies(); });
}

gateway_fixture::~gateway_fixture() = default;

scripted_server& gateway_fixture::AddServer(const std::string& aId,
                                            const std::string& aService,
                                            const std::string& aSoftware)
{
  mServers.push_back(std::make_unique<scripted_server>(mTime));
  scripted_server& server = *mServers.back();
  mStore.Put(
    { "servers", "", aId },
    fmt::format(R"({{"service":"{}","address":"{}","zone":"z1","slots":8,)"
                R"("version":"{}","state":"ready","seq":1,"born":1}})",
                aService,
                server.Address(),
                aSoftware));
  return server;
}

void gateway_fixture::PutServer(const std::string& aId,
                                const scripted_server& aServer,
                                const std::string& aState,
                                unsigned aSlots)
{
  mStore.Put(
    { "servers", "", aId },
    fmt::format(R"({{"service":"app","address":"{}","zone":"z1","slots":{},)"
                R"("version":"v1","state":"{}","seq":2,"born":1}})",
                aServer.Address(),
                aSlots,
                aState));
}

void gateway_fixture::StartNode()
{
  mStore.Put({ "op", "", "config" }, mConfig);
  std::string error;
  mNode = gateway_node::Start(
    mSettings, mCodec, mStore, mTime, [this] { mStopped = true; }, error);
  ASSERT_TRUE(mNode) << error;
  ASSERT_TRUE(RunUntil([this] { return mNode->Ready(); }));
}

void gateway_fixture::StartTwoNodes(row_store& aStore)
{
  mSettings.mPeer.mPort = FreePort();
  mSettings.mClientAddress.mPort = FreePort();
  StartNode();
  gateway_settings settings = mSettings;
  settings.mName = "node-2";
  settings.mSeeds = { FormatTcpAddress(mSettings.mPeer) };
  settings.mPeer.mPort = FreePort();
  settings.mClientAddress.mPort = FreePort();
  std::string error;
  mSecondNode = gateway_node::Start(
    settings, mCodec, aStore, mTime, [] {}, error);
  ASSERT_TRUE(mSecondNode) << error;
  ASSERT_TRUE(RunUntil([this] { return mSecondNode->Ready(); }));
  RunFor(kReportTime);
}

std::unique_ptr<client_exchange> gateway_fixture::BeginAtSecondNode(
  const std::string& aPath)
{
  std::swap(mNode, mSecondNode);
  auto exchange = BeginRequest(
    "POST",
    aPath,
    fmt::format("Lentilswitch-Request-Id: r{}\r\n", ++mLastRequestId),
    "b");
  std::swap(mNode, mSecondNode);
  return exchange;
}

std::uint16_t gateway_fixture::FreePort()
{
  struct ignoring_acceptor final : tcp_listener::acceptor
  {
    void OnAccept(int) override {}
  } acceptor;
  std::random_device device;
  std::uniform_int_distribution<std::uint16_t> ports(kFirstFreePort,
                                                     kLastFreePort);
  while (true) {
    const std::uint16_t port = ports(device);
    std::string error;
    if (tcp_listener::Listen({ "127.0.0.1", port }, acceptor, error)) {
      return port;
    }
  }
}

std::unique_ptr<client_exchange> gateway_fixture::BeginRequest(
  const std::string& aMethod,
  const std::string& aPath,
  const std::string& aHeaders,
  const std::string& aBody)
{
  auto exchange = std::make_unique<client_exchange>();
  exchange->mConnection = std::make_unique<http_client_connection>(
    mNode->ClientAddress(), tcp_liveness{});
  std::string head = fmt::format(
    "{} {} HTTP/1.1\r\nHost: a.example\r\n{}", aMethod, aPath, aHeaders);
  if (aHeaders.find("Lentilswitch-Request-Id") == std::string::npos) {
    head.append("Lentilswitch-Request-Id: r1\r\n");
  }
  if (aHeaders.find("Authorization") == std::string::npos) {
    head.append("Authorization: Bearer key-1\r\n");
  }
  if (!aBody.empty()) {
    head.append(fmt::format("Content-Length: {}\r\n", aBody.size()));
  }
  head.append("\r\n");
  exchange->mConnection->Start(head, aBody, false, *exchange);
  return exchange;
}

std::unique_ptr<client_exchange> gateway_fixture::Call(
  const std::string& aMethod,
  const std::string& aPath,
  const std::string& aHeaders,
  const std::string& aBody)
{
  auto exchange = BeginRequest(aMethod, aPath, aHeaders, aBody);
  EXPECT_TRUE(RunUntil([&] { return exchange->Ended(); })) << aPath;
  return exchange;
}

bool gateway_fixture::RunUntil(const std::function<bool()>& aCondition)
{
  return mLoop.RunUntil(aCondition, kTestTimeout);
}

void gateway_fixture::RunFor(std::chrono::milliseconds aTime)
{
  mLoop.RunUntil([] { return false; }, aTime);
}
