#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

#include <fmt/format.h>

#include "GatewayFixture.h"

namespace {

using std::chrono::milliseconds;

// Segment size of a wide-area path and a small receive buffer, so that the
// kernels hold little and announce within 2 s what is read at 1 KB/s. A larger
// buffer is announced in larger steps (docs/design/slow-readers.md). The
// loopback interface has segments of 64 KB.
constexpr int kSegmentBytes = 536;
constexpr int kReceiveBufferBytes = 1024;
constexpr std::uint64_t kSmallHostBytes = 88'000'000;
// Bound of the held bytes at such a host: half of what the process leaves.
constexpr double kSmallHostLimit = 38'000'000.0;
// The stream of a test is larger than what a node holds for it.
constexpr unsigned kEvents = 40;
constexpr std::size_t kEventBytes = 16000;
// Time in which metrics are up to date; they are set every 250 ms.
constexpr milliseconds kMetricsTime(600);

int SlowSocket()
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  EXPECT_EQ(setsockopt(descriptor,
                       IPPROTO_TCP,
                       TCP_MAXSEG,
                       &kSegmentBytes,
                       sizeof kSegmentBytes),
            0);
  EXPECT_EQ(setsockopt(descriptor,
                       SOL_SOCKET,
                       SO_RCVBUF,
                       &kReceiveBufferBytes,
                       sizeof kReceiveBufferBytes),
            0);
  return descriptor;
}

/// A descriptor that is read at a fixed rate, or not at all.
class slow_descriptor
{
public:
  explicit slow_descriptor(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }
  ~slow_descriptor() { close(mDescriptor); }
  slow_descriptor(const slow_descriptor&) = delete;
  slow_descriptor& operator=(const slow_descriptor&) = delete;

  /// Reads up to `aBytes`.
  void Read(std::size_t aBytes)
  {
    std::array<char, 4096> buffer;
    const ssize_t count = recv(mDescriptor,
                               buffer.data(),
                               std::min(aBytes, buffer.size()),
                               MSG_DONTWAIT);
    if (count > 0) {
      mReceived.append(buffer.data(), static_cast<std::size_t>(count));
    }
    mBroken =
      mBroken || count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
  }
  /// Whether the peer has closed or reset the connection.
  bool Broken()
  {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(mDescriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    mBroken = mBroken || error != 0;
    return mBroken;
  }
  int Descriptor() const { return mDescriptor; }

  std::string mReceived;
  loop_timer mTimer;

private:
  int mDescriptor;
  bool mBroken = false;
};

class slow_reader_path_test : public gateway_fixture
{
protected:
  slow_reader_path_test()
  {
    // The routes' own timeouts must not end the streams.
    for (const std::string timeout : { "2000", "800" }) {
      const std::string from = "\"timeoutMs\": " + timeout + ",";
      for (auto at = mConfig.find(from); at != std::string::npos;
           at = mConfig.find(from)) {
        mConfig.replace(at, from.size(), "\"timeoutMs\": 20000,");
      }
    }
    // Prepaid tokens must not refuse the first of many streams.
    const std::string tenants = "\"tenants\": [";
    mConfig.insert(mConfig.find(tenants) + tenants.size(),
                   R"({"name": "free", "apiKeys": ["key-3"]},)");
    mSettings.mMemoryBytes = kSmallHostBytes;
    mSettings.mMetrics = { "127.0.0.1", FreePort() };
  }

  scripted_server& AddStreamServer()
  {
    scripted_server& server = AddServer("i-1", "engine");
    mStore.Put(
      { "servers", "", "i-1" },
      fmt::format(R"({{"service":"engine","address":"{}","zone":"z1",)"
                  R"("slots":500,"version":"v1","state":"ready","seq":2,)"
                  R"("born":1}})",
                  server.Address()));
    server.mScript = [](http_server_connection& aConnection,
                        const http_server_request& aRequest) {
      const std::string data(kEventBytes, 'a');
      std::string events;
      for (unsigned i = 0; i < kEvents; ++i) {
        events += fmt::format("id: {}\ndata: {}\n\n", i, data);
      }
      scripted_server::SendEvents(aConnection, aRequest, events);
    };
    return server;
  }

  /// Connects a client that reads `aBytesPerSecond` and asks for a stream.
  std::unique_ptr<slow_descriptor> BeginStream(std::size_t aBytesPerSecond)
  {
    auto client = std::make_unique<slow_descriptor>(SlowSocket());
    const sockaddr_in address = ToSockaddr(mNode->ClientAddress());
    EXPECT_EQ(connect(client->Descriptor(),
                      reinterpret_cast<const sockaddr*>(&address),
                      sizeof address),
              0);
    ++mLastRequestId;
    const std::string request =
      fmt::format("POST /s/x HTTP/1.1\r\nHost: a.example\r\n"
                  "Lentilswitch-Request-Id: slow{}\r\n"
                  "Authorization: Bearer key-3\r\n"
                  "Lentilswitch-Token-Counts: 100,50\r\n"
                  "Lentilswitch-Prompt-Prefix: aa:60,b{}:40\r\n"
                  "Content-Length: 1\r\n\r\nb",
                  mLastRequestId,
                  mLastRequestId);
    EXPECT_EQ(send(client->Descriptor(), request.data(), request.size(), 0),
              static_cast<ssize_t>(request.size()));
    if (aBytesPerSecond > 0) {
      client->mTimer.Every(milliseconds(100),
                           [raw = client.get(), aBytesPerSecond] {
                             raw->Read(aBytesPerSecond / 10);
                           });
    }
    return client;
  }

  /// Sum of the values of the metric's lines that contain `aLabel`.
  double Metric(const std::string& aName, const std::string& aLabel = {})
  {
    client_exchange exchange;
    http_client_connection connection(mSettings.mMetrics, {});
    connection.Start(
      "GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n", {}, false, exchange);
    EXPECT_TRUE(RunUntil([&] { return exchange.Ended(); }));
    double sum = 0.0;
    std::istringstream lines(exchange.mBody);
    for (std::string line; std::getline(lines, line);) {
      if (line.starts_with(aName) && line.find(aLabel) != std::string::npos) {
        sum += std::stod(line.substr(line.rfind(' ')));
      }
    }
    return sum;
  }

  /// Calls another service for `aTime`, and returns the greatest held bytes.
  /// Each call must be answered within 500 ms.
  double ServeOthers(milliseconds aTime)
  {
    double held = 0.0;
    for (const time_point end = mTime.Now() + aTime; mTime.Now() < end;) {
      RunFor(milliseconds(50));
      const time_point begun = mTime.Now();
      const auto other =
        Call("GET",
             "/l/x",
             fmt::format("Lentilswitch-Request-Id: o{}\r\n", ++mLastRequestId));
      EXPECT_EQ(other->mResponse.mStatus, 200U) << other->mBody;
      EXPECT_LE(mTime.Now() - begun, milliseconds(500));
      held = std::max(held, Metric("gateway_held_bytes"));
    }
    return held;
  }
};

/// A server that takes requests at a low rate and does not answer.
class slow_server final
{
public:
  explicit slow_server(std::size_t aBytesPerSecond)
    : mDescriptor(SlowSocket())
  {
    sockaddr_in address = ToSockaddr({ "127.0.0.1", 0 });
    socklen_t size = sizeof address;
    auto* native = reinterpret_cast<sockaddr*>(&address);
    EXPECT_EQ(bind(mDescriptor, native, size), 0);
    EXPECT_EQ(listen(mDescriptor, 128), 0);
    EXPECT_EQ(getsockname(mDescriptor, native, &size), 0);
    mAddress = fmt::format("127.0.0.1:{}", ntohs(address.sin_port));
    mTimer.Every(milliseconds(100), [this, aBytesPerSecond] {
      pollfd ready{ mDescriptor, POLLIN, 0 };
      while (poll(&ready, 1, 0) == 1) {
        mConnections.push_back(std::make_unique<slow_descriptor>(
          accept4(mDescriptor, nullptr, nullptr, SOCK_CLOEXEC)));
      }
      for (const auto& connection : mConnections) {
        connection->Read(aBytesPerSecond / 10);
      }
    });
  }
  ~slow_server() { close(mDescriptor); }
  slow_server(const slow_server&) = delete;
  slow_server& operator=(const slow_server&) = delete;

  const std::string& Address() const { return mAddress; }

private:
  int mDescriptor;
  std::string mAddress;
  std::vector<std::unique_ptr<slow_descriptor>> mConnections;
  loop_timer mTimer;
};

} // namespace

// Guards against a client that never reads and keeps memory and a slot of the
// server until the server cuts the response off.
TEST_F(slow_reader_path_test, EndsAClientThatNeverReads)
{
  const scripted_server& server = AddStreamServer();
  AddServer("i-2", "app");
  StartNode();
  const auto client = BeginStream(0);
  const double held = ServeOthers(milliseconds(1500));
  EXPECT_FALSE(client->Broken());
  EXPECT_GE(held, 200'000.0) << "the stream is buffered up to its bound";
  EXPECT_LE(held, 330'000.0);
  EXPECT_TRUE(
    mLoop.RunUntil([&] { return client->Broken(); }, milliseconds(2500)));
  EXPECT_TRUE(RunUntil([&] { return server.mClientsGone == 1; }));
  RunFor(kMetricsTime);
  EXPECT_EQ(Metric("gateway_slow_clients_ended_total", "stream"), 1.0);
  EXPECT_EQ(Metric("gateway_open_requests"), 0.0);
  EXPECT_LE(Metric("gateway_held_bytes"), 1000.0);
}

// Guards against the end of a stream whose client reads slowly.
TEST_F(slow_reader_path_test, KeepsAClientThatReadsSlowly)
{
  const scripted_server& server = AddStreamServer();
  AddServer("i-2", "app");
  StartNode();
  const auto client = BeginStream(1000);
  const double held = ServeOthers(milliseconds(8000));
  EXPECT_LE(held, 330'000.0);
  EXPECT_FALSE(client->Broken());
  EXPECT_GE(client->mReceived.size(), 6000U);
  EXPECT_EQ(server.mClientsGone, 0U);
  EXPECT_EQ(Metric("gateway_slow_clients_ended_total"), 0.0);
}

// Guards against a small host that runs out of memory because many clients do
// not read, and against the end of those that read beside them.
TEST_F(slow_reader_path_test, BoundsTheMemoryForManyClients)
{
  AddStreamServer();
  AddServer("i-2", "app");
  StartNode();
  std::vector<std::unique_ptr<slow_descriptor>> clients;
  const auto reader = BeginStream(1000);
  for (unsigned i = 0; i < 200; ++i) {
    clients.push_back(BeginStream(0));
    RunFor(milliseconds(2));
  }
  const double held = ServeOthers(milliseconds(1000));
  EXPECT_GE(held, kSmallHostLimit * 0.7);
  EXPECT_LE(held, kSmallHostLimit);
  EXPECT_LE(ServeOthers(milliseconds(3500)), kSmallHostLimit);
  EXPECT_TRUE(std::ranges::all_of(
    clients, [](const auto& aClient) { return aClient->Broken(); }));
  EXPECT_FALSE(reader->Broken());
  EXPECT_LE(Metric("gateway_held_bytes"), 330'000.0);
  EXPECT_EQ(Metric("gateway_slow_clients_ended_total"), 200.0);
}

// Guards against bodies for a server that reads slowly, which are held twice
// and fill the memory. Requests above the bound are refused at once, and small
// ones of others are served.
TEST_F(slow_reader_path_test, BoundsTheMemoryForASlowServer)
{
  const slow_server slow(1000);
  mStore.Put(
    { "servers", "", "i-1" },
    fmt::format(R"({{"service":"engine","address":"{}","zone":"z1",)"
                R"("slots":500,"version":"v1","state":"ready","seq":2,)"
                R"("born":1}})",
                slow.Address()));
  AddServer("i-2", "app");
  StartNode();
  const std::string body(1'000'000, 'b');
  std::vector<std::unique_ptr<client_exchange>> exchanges;
  double held = 0.0;
  for (unsigned i = 0; i < 40; ++i) {
    exchanges.push_back(BeginRequest(
      "POST",
      "/s/x",
      fmt::format("Lentilswitch-Request-Id: r{}\r\n", ++mLastRequestId),
      body));
    RunFor(milliseconds(20));
    held = std::max(held, Metric("gateway_held_bytes"));
  }
  held = std::max(held, ServeOthers(milliseconds(500)));
  EXPECT_LE(held, kSmallHostLimit);
  EXPECT_GE(Metric("gateway_held_bytes", "to_servers"), 10'000'000.0);
  const auto refused =
    std::ranges::count_if(exchanges, [](const auto& aExchange) {
      return aExchange->mComplete &&
             aExchange->mBody.find("memory_full") != std::string::npos;
    });
  EXPECT_GE(refused, 15);
  EXPECT_EQ(Metric("gateway_left_answers"), 1.0);
}
