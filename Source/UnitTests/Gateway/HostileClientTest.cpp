#include <algorithm>
#include <limits>

#include <fmt/format.h>

#include "Common/CallbackGuard.h"
#include "Gateway/HeldBytes.h"
#include "GatewayFixture.h"

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSmallHost = 88'000'000;
// Bytes that the smallest host may hold for clients and servers.
constexpr std::size_t kSmallHostLimit = 38'000'000;

/// A client that sends bytes as they are.
class raw_client final : public tcp_observer
{
public:
  explicit raw_client(const tcp_address& aAddress)
    : mStream(tcp_stream::Connect(aAddress, {}, *this))
  {
  }
  void OnData(std::string_view aBytes) override { mReceived.append(aBytes); }
  void OnEnd(tcp_end_reason) override { mEnded = true; }

  std::shared_ptr<tcp_stream> mStream;
  std::string mReceived;
  bool mEnded = false;
};

class hostile_client_test : public gateway_fixture
{
protected:
  unsigned StatusWith(const std::string& aHeaders)
  {
    return Call("POST", "/s/x", aHeaders, "b")->mResponse.mStatus;
  }
};

std::string Head(const std::string& aId, const std::string& aHeaders)
{
  return fmt::format("POST /o/x HTTP/1.1\r\nHost: a.example\r\n"
                     "Lentilswitch-Request-Id: {}\r\n"
                     "Authorization: Bearer key-1\r\n{}\r\n",
                     aId,
                     aHeaders);
}

} // namespace

// Guards against token counts that add tokens to the account of the caller, or
// overflow.
TEST_F(hostile_client_test, TokenCountsOutOfRangeAreRefused)
{
  scripted_server& server = AddServer("i-1", "engine");
  StartNode();
  for (const char* counts : { "-100,50",
                              "100,-50",
                              "9223372036854775807,9223372036854775807",
                              "99999999999999999999,1",
                              "abc,1",
                              "100",
                              "100,50,1",
                              "1e3,5",
                              "" }) {
    EXPECT_EQ(
      StatusWith(fmt::format("Lentilswitch-Token-Counts: {}\r\n", counts)),
      400U)
      << counts;
  }
  EXPECT_TRUE(server.mRequests.empty());
  // More than any server holds.
  EXPECT_EQ(StatusWith("Lentilswitch-Token-Counts: 900000,50\r\n"), 503U);
  EXPECT_TRUE(server.mRequests.empty());
}

// Guards against times beyond what the clock can add.
TEST_F(hostile_client_test, DeadlinesOutOfRangeAreBounded)
{
  scripted_server& server = AddServer("i-1", "app");
  StartNode();
  for (const std::int64_t time :
       { std::numeric_limits<std::int64_t>::max(), std::int64_t{ 1 } << 60U }) {
    EXPECT_EQ(Call("POST",
                   "/o/x",
                   fmt::format("Lentilswitch-Deadline-Ms: {}\r\n", time),
                   "b")
                ->mResponse.mStatus,
              200U);
  }
  EXPECT_EQ(server.mRequests.size(), 2U);
}

// Guards against values of servers that overflow: pauses and the lifetime of
// connections.
TEST_F(hostile_client_test, TimesOfServersAreBounded)
{
  scripted_server& server = AddServer("i-1", "app");
  StartNode();
  for (const char* value : { "9223372036854775807", "1e300", "-5", "nan" }) {
    server.mScript = [value](auto& aConnection, const auto& aRequest) {
      http_server_response response;
      scripted_server::Sign(response, aRequest);
      response.mHeaders.emplace_back("Keep-Alive",
                                     fmt::format("timeout={}", value));
      response.mHeaders.emplace_back("Retry-After", value);
      aConnection.Respond(response, "done");
    };
    EXPECT_EQ(Call("POST", "/o/x", {}, "b")->mResponse.mStatus, 200U) << value;
  }
}

// Guards against a use after free: the next request of a connection replaces
// the session that still handles the previous one.
TEST_F(hostile_client_test, PipelinedRequestsHaveSessionsOfTheirOwn)
{
  scripted_server& server = AddServer("i-1", "app");
  StartNode();
  raw_client client(mNode->ClientAddress());
  std::string requests;
  for (int i = 0; i < 20; ++i) {
    requests += Head(fmt::format("p{}", i), "Content-Length: 1\r\n") + "b";
    // Refused by the session itself, while it advances.
    requests += Head(fmt::format("q{}", i),
                     "Lentilswitch-Token-Counts: 200000,1\r\n"
                     "Content-Length: 1\r\n") +
                "b";
  }
  client.mStream->Write(requests);
  EXPECT_TRUE(RunUntil([&] { return server.mRequests.size() == 20; }));
  RunFor(milliseconds(100));
  EXPECT_EQ(CallbackFailures(), 0U);
  EXPECT_NE(client.mReceived.find("HTTP/1.1 200"), std::string::npos);
}

// Guards against unfinished requests that fill the memory of the smallest host:
// each connection may hold several MB. Other clients are served meanwhile.
TEST_F(hostile_client_test, UnfinishedRequestsStayWithinTheMemory)
{
  mSettings.mMemoryBytes = kSmallHost;
  AddServer("i-1", "app");
  StartNode();
  std::vector<std::unique_ptr<raw_client>> clients;
  const std::string head = Head("r", "Transfer-Encoding: chunked\r\n") +
                           fmt::format("{:x}\r\n", 1'000'000) +
                           std::string(900'000, 'a');
  unsigned served = 0;
  for (int i = 0; i < 120; ++i) {
    clients.push_back(std::make_unique<raw_client>(mNode->ClientAddress()));
    clients.back()->mStream->Write(head);
    if (i % 10 == 0) {
      served += Call("POST", "/o/x", {}, "b")->mResponse.mStatus == 200U;
    }
  }
  EXPECT_EQ(served, 12U);
  RunFor(milliseconds(300));
  unsigned refused = 0;
  std::size_t sent = 0;
  for (const auto& client : clients) {
    const bool is503 = client->mReceived.starts_with("HTTP/1.1 503");
    refused += is503;
    if (!is503) {
      sent += head.size();
    }
  }
  EXPECT_LE(sent, kSmallHostLimit);
  // Three quarters of the limit are for large bodies.
  EXPECT_GE(refused, 120U - 32U);
  EXPECT_EQ(Call("POST", "/o/x", {}, "b")->mResponse.mStatus, 200U);
}

// Guards against responses that fill the memory of the smallest host because
// clients send requests on a connection and never read. Other clients are
// served meanwhile, and the connections are ended like those of slow readers.
TEST_F(hostile_client_test, UnreadResponsesStayWithinTheMemory)
{
  constexpr unsigned kClients = 24;
  constexpr unsigned kRequests = 60;
  mSettings.mMemoryBytes = kSmallHost;
  scripted_server& server = AddServer("i-1", "app");
  server.mScript = [](auto& aConnection, const auto& aRequest) {
    http_server_response response;
    scripted_server::Sign(response, aRequest);
    aConnection.Respond(response, std::string(100'000, 'a'));
  };
  StartNode();
  std::vector<std::unique_ptr<raw_client>> clients;
  for (unsigned i = 0; i < kClients; ++i) {
    std::string requests;
    for (unsigned k = 0; k < kRequests; ++k) {
      requests +=
        Head(fmt::format("u{}-{}", i, k), "Content-Length: 1\r\n") + "b";
    }
    clients.push_back(std::make_unique<raw_client>(mNode->ClientAddress()));
    clients.back()->mStream->SetReading(false);
    clients.back()->mStream->Write(requests);
  }
  RunFor(milliseconds(1500));
  EXPECT_EQ(Call("POST", "/o/x", {}, "b")->mResponse.mStatus, 200U);
  EXPECT_LT(server.mRequests.size(), kClients * kRequests);
  // The kernel holds what was written before a connection ended.
  RunFor(milliseconds(3000));
  for (const auto& client : clients) {
    client->mStream->SetReading(true);
  }
  EXPECT_TRUE(RunUntil([&] {
    return std::ranges::all_of(
      clients, [](const auto& aClient) { return aClient->mEnded; });
  }));
}

// The connections that hold most are refused first.
TEST(held_bytes_test, LargeInputsAreRefusedFirst)
{
  held_bytes held(kSmallHost);
  EXPECT_EQ(held.Limit(), kSmallHostLimit);
  EXPECT_TRUE(held.MayHold(0, kSmallHostLimit / 2));
  EXPECT_FALSE(held.MayHold(0, kSmallHostLimit));
  const std::size_t large = kSmallHostLimit / 4 * 3;
  held.Add(held_kind::ArrivingRequests, large - 100'000);
  EXPECT_TRUE(held.MayHold(1'000'000, 17'000));
  EXPECT_FALSE(held.MayHold(2'000'000, 17'000));
  // The rest is for small requests.
  held.Add(held_kind::ArrivingRequests, 100'000);
  EXPECT_FALSE(held.MayHold(100'000, 1));
  EXPECT_TRUE(held.MayHold(0, 17'000));
  held.Add(held_kind::ArrivingRequests, kSmallHostLimit - large);
  EXPECT_FALSE(held.MayHold(0, 1));
}
