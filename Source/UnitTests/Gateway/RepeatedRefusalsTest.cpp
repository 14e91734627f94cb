#include <fmt/format.h>

#include "GatewayFixture.h"

namespace {

using std::chrono::milliseconds;

/// A server that writes bytes of the test's choice, also on connections on
/// which no request is in progress.
class raw_app_server final : private tcp_listener::acceptor
{
public:
  /// `aNumber` counts the requests, from 1.
  using script = std::function<
    void(std::size_t aNumber, const std::string& aId, tcp_stream& aStream)>;

  raw_app_server()
  {
    std::string error;
    mListener = tcp_listener::Listen({ "127.0.0.1", 0 }, *this, error);
  }

  std::string Address() const { return FormatTcpAddress(mListener->Address()); }
  /// The connection that was accepted first.
  tcp_stream& FirstStream() { return *mPeers.front()->mStream; }

  script mScript;
  std::vector<std::string> mIds;

private:
  struct peer final : tcp_observer
  {
    void OnData(std::string_view aBytes) override
    {
      mInput.append(aBytes);
      // All requests of these tests have the body `b`.
      if (mInput.ends_with("\r\n\r\nb")) {
        constexpr std::string_view kName = "Lentilswitch-Request-Id: ";
        const auto begin = mInput.find(kName) + kName.size();
        const std::string id =
          mInput.substr(begin, mInput.find('\r', begin) - begin);
        mInput.clear();
        mServer->mIds.push_back(id);
        mServer->mScript(mServer->mIds.size(), id, *mStream);
      }
    }
    void OnEnd(tcp_end_reason) override {}

    raw_app_server* mServer = nullptr;
    std::shared_ptr<tcp_stream> mStream;
    std::string mInput;
  };

  void OnAccept(int aDescriptor) override
  {
    mPeers.push_back(std::make_unique<peer>());
    mPeers.back()->mServer = this;
    mPeers.back()->mStream = tcp_stream::Adopt(aDescriptor, {}, *mPeers.back());
  }

  std::vector<std::unique_ptr<peer>> mPeers;
  std::unique_ptr<tcp_listener> mListener;
};

std::string IdLine(const std::string& aId)
{
  return aId.empty() ? "" : "Lentilswitch-Request-Id: " + aId + "\r\n";
}

/// Response of a server that did not run the request. `aHeaders` are further
/// header lines with the framing.
std::string Refusal(const std::string& aStatus,
                    const std::string& aId,
                    const std::string& aHeaders = "Content-Length: 0\r\n",
                    const std::string& aBody = {})
{
  return "HTTP/1.1 " + aStatus +
         "\r\n"
         "Lentilswitch-Not-Executed: 1\r\n" +
         IdLine(aId) + aHeaders + "\r\n" + aBody;
}

std::string Success(const std::string& aId)
{
  return "HTTP/1.1 200 OK\r\n" + IdLine(aId) +
         "Lentilswitch-Server-Stamp: stamp\r\nContent-Length: 4\r\n\r\ndone";
}

std::string Stream(const std::string& aId)
{
  return "HTTP/1.1 200 OK\r\n" + IdLine(aId) +
         "Lentilswitch-Server-Stamp: stamp\r\n"
         "Content-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n"
         "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";
}

class repeated_refusals_test : public gateway_fixture
{
protected:
  /// Starts a node with one server. `aAttempts` is the limit of the route of
  /// requests that are not idempotent.
  void StartWithServer(unsigned aAttempts, const std::string& aService = "app")
  {
    const std::string once = R"("service": "app", "maxAttempts": 1})";
    mConfig.replace(
      mConfig.find(once),
      once.size(),
      fmt::format(R"("service": "app", "maxAttempts": {}}})", aAttempts));
    mStore.Put({ "servers", "", "i-1" },
               fmt::format(R"({{"service":"{}","address":"{}","zone":"z1",)"
                           R"("slots":8,"version":"v1","state":"ready",)"
                           R"("seq":1,"born":1}})",
                           aService,
                           mServer.Address()));
    StartNode();
  }

  std::unique_ptr<client_exchange> CallAs(const std::string& aId,
                                          const std::string& aPath = "/o/x")
  {
    return Call("POST", aPath, "Lentilswitch-Request-Id: " + aId + "\r\n", "b");
  }

  raw_app_server mServer;
  loop_timer mTimer;
};

/// How a request comes to a server that refused it before.
struct repetition
{
  const char* mName;
  const char* mPath;
  const char* mStatus;
  /// Identity of the request; the server leaves it out if empty.
  const char* mId;
  /// Whether the client sends the request again, rather than the gateway.
  bool mByClient;
};

void PrintTo(const repetition& aRepetition, std::ostream* aStream)
{
  *aStream << aRepetition.mName;
}

class repeated_request_test
  : public repeated_refusals_test
  , public testing::WithParamInterface<repetition>
{};

} // namespace

// Guards against a late copy of a server's refusal of the same request that is
// taken for its answer to the repetition, which the server runs.
TEST_P(repeated_request_test, CopyOfItsOwnRefusalIsNotItsAnswer)
{
  const bool streams = GetParam().mPath[1] == 'r';
  mServer.mScript =
    [&](std::size_t aNumber, const std::string& aId, tcp_stream& aStream) {
      const std::string refusal = Refusal(GetParam().mStatus, aId);
      if (aNumber == 1) {
        aStream.Write(refusal);
        return;
      }
      mServer.FirstStream().Write(refusal);
      mTimer.Once(milliseconds(50), [&aStream, streams, aId] {
        aStream.Write(streams ? Stream(aId) : Success(aId));
      });
    };
  StartWithServer(GetParam().mByClient ? 1 : 2, streams ? "engine" : "app");
  auto exchange = CallAs(GetParam().mId, GetParam().mPath);
  if (GetParam().mByClient) {
    EXPECT_EQ(exchange->mResponse.mStatus, 503U);
    exchange = CallAs(GetParam().mId, GetParam().mPath);
  }
  EXPECT_EQ(exchange->mResponse.mStatus, 200U);
  EXPECT_EQ(mServer.mIds.size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(
  Repetitions,
  repeated_request_test,
  testing::Values(
    repetition{ "Full", "/o/x", "503 Service Unavailable", "r1", false },
    repetition{ "Limited", "/o/x", "429 Too Many Requests", "r1", false },
    repetition{ "Misdirected", "/o/x", "421 Misdirected Request", "r1", false },
    repetition{ "ByClient", "/o/x", "503 Service Unavailable", "r1", true },
    repetition{ "NoId", "/o/x", "503 Service Unavailable", "", true },
    repetition{ "Idempotent", "/l/x", "503 Service Unavailable", "r1", false },
    repetition{ "Stream", "/r/x", "503 Service Unavailable", "r1", false }),
  [](const auto& aInfo) { return aInfo.param.mName; });
