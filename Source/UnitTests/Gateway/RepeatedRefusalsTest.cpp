#include <algorithm>

#include <fmt/format.h>

#include "Gateway/ServerProbe.h"
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

  const tcp_address& Address() const { return mListener->Address(); }
  /// The connection that was accepted first.
  tcp_stream& FirstStream() { return *mPeers.front()->mStream; }
  std::size_t RequestsOf(const std::string& aId) const
  {
    return static_cast<std::size_t>(std::ranges::count(mIds, aId));
  }

  script mScript;
  std::vector<std::string> mIds;

private:
  struct peer final : tcp_observer
  {
    void OnData(std::string_view aBytes) override
    {
      mInput.append(aBytes);
      // All requests of these tests but probes have the body `b`.
      if (mInput.ends_with(mInput.starts_with("GET") ? "\r\n\r\n"
                                                     : "\r\n\r\nb")) {
        constexpr std::string_view kName = "Lentilswitch-Request-Id: ";
        std::string id;
        if (const auto line = mInput.find(kName); line != std::string::npos) {
          id = mInput.substr(line + kName.size());
          id.resize(id.find('\r'));
        }
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
                           FormatTcpAddress(mServer.Address())));
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

/// Where the copy of the refusal of an earlier request stands.
enum class copy_place : std::uint8_t
{
  /// Its first half is sent before the next request, its second half after.
  AroundRequest,
  /// In two parts while the next request runs.
  WhileRunning,
  /// In one write with the next answer.
  JoinedToAnswer,
  /// Cut off at `mCut` and continued by the next answer, in one write.
  TornBeforeAnswer,
  BehindAnswer,
  /// Within the next answer, which is a stream, between two chunks.
  WithinStream,
  BehindStream,
};

struct refusal_copy
{
  const char* mName;
  copy_place mPlace;
  const char* mStatus;
  bool mHasId;
  const char* mHeaders;
  const char* mBody;
  /// Text of the copy behind which it is cut in two.
  const char* mCut;
};

void PrintTo(const refusal_copy& aCopy, std::ostream* aStream)
{
  *aStream << aCopy.mName;
}

class refusal_copy_test
  : public repeated_refusals_test
  , public testing::WithParamInterface<refusal_copy>
{
protected:
  /// The two parts of the copy.
  static std::pair<std::string, std::string> Parts()
  {
    const refusal_copy& copy = GetParam();
    const std::string text = Refusal(copy.mStatus,
                                     copy.mHasId ? "r1" : "",
                                     std::string(kState) + copy.mHeaders,
                                     copy.mBody);
    const std::string cut = copy.mCut;
    const auto position = text.find(cut) + cut.size();
    return { text.substr(0, position), text.substr(position) };
  }

  /// Answers the second request.
  void Answer(const std::string& aId, tcp_stream& aStream)
  {
    const auto [first, second] = Parts();
    const std::string whole = first + second;
    const std::string stream = Stream(aId);
    const auto lastChunk = stream.size() - std::string("0\r\n\r\n").size();
    switch (GetParam().mPlace) {
      case copy_place::AroundRequest:
        mServer.FirstStream().Write(second);
        AnswerLater(Success(aId), aStream);
        return;
      case copy_place::WhileRunning:
        aStream.Write(first);
        AnswerLater(second, aStream);
        mSecondTimer.Once(kPause * 2,
                          [aId, &aStream] { aStream.Write(Success(aId)); });
        return;
      case copy_place::JoinedToAnswer:
        aStream.Write(whole + Success(aId));
        return;
      case copy_place::TornBeforeAnswer:
        aStream.Write(first + Success(aId));
        return;
      case copy_place::BehindAnswer:
        aStream.Write(Success(aId) + first);
        AnswerLater(second, aStream);
        return;
      case copy_place::WithinStream:
        aStream.Write(stream.substr(0, lastChunk) + whole +
                      stream.substr(lastChunk));
        return;
      case copy_place::BehindStream:
        aStream.Write(stream + whole);
        return;
    }
  }

  void AnswerLater(const std::string& aBytes, tcp_stream& aStream)
  {
    mTimer.Once(kPause, [aBytes, &aStream] { aStream.Write(aBytes); });
  }

  /// What a server may say of itself in a refusal. It held at the time of the
  /// first request.
  static constexpr const char* kState =
    "Retry-After: 30\r\nServer-Leaving: 1\r\nServer-Limit: 0\r\n"
    "Server-Brittle: 1\r\nLentilswitch-Cold-Ms: 30000\r\n";
  static constexpr milliseconds kPause{ 20 };
  loop_timer mSecondTimer;
};

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

// Guards against the copy of a refusal of an earlier request, whole or in part,
// that is taken for the answer to the next request, or changes what the node
// knows of the server.
TEST_P(refusal_copy_test, IsNotTheNextAnswer)
{
  const copy_place place = GetParam().mPlace;
  const bool streams =
    place == copy_place::WithinStream || place == copy_place::BehindStream;
  mServer.mScript =
    [&](std::size_t aNumber, const std::string& aId, tcp_stream& aStream) {
      if (aNumber == 1) {
        aStream.Write(Refusal("503 Service Unavailable", aId));
      } else if (aNumber == 2) {
        Answer(aId, aStream);
      } else {
        aStream.Write(streams ? Stream(aId) : Success(aId));
      }
    };
  StartWithServer(1, streams ? "engine" : "app");
  const char* path = streams ? "/s/x" : "/o/x";
  EXPECT_EQ(CallAs("r1", path)->mResponse.mStatus, 503U);
  if (place == copy_place::AroundRequest) {
    mServer.FirstStream().Write(Parts().first);
  }
  const auto exchange = CallAs("r2", path);
  if (place == copy_place::TornBeforeAnswer) {
    // The answer cannot be told from the copy, so nothing may be promised.
    EXPECT_GE(exchange->mResponse.mStatus, 502U);
    EXPECT_NE(exchange->mResponse.mStatus, 503U);
  } else if (place == copy_place::WithinStream) {
    EXPECT_EQ(exchange->mFailure, exchange_failure::Truncated);
  } else {
    EXPECT_EQ(exchange->mResponse.mStatus, 200U);
    EXPECT_TRUE(exchange->mComplete);
  }
  EXPECT_EQ(mServer.RequestsOf("r2"), 1U);
  // The server is used as before, also at once.
  EXPECT_EQ(CallAs("r3", path)->mResponse.mStatus, 200U);
}

INSTANTIATE_TEST_SUITE_P(
  Copies,
  refusal_copy_test,
  testing::ValuesIn([] {
    constexpr const char* kFull = "503 Service Unavailable";
    constexpr const char* kOther = "421 Misdirected Request";
    constexpr const char* kLength = "Content-Length: 0\r\n";
    constexpr const char* kLong = "Content-Length: 20\r\n";
    constexpr const char* kBody = "01234567890123456789";
    constexpr const char* kChunked = "Transfer-Encoding: chunked\r\n";
    constexpr const char* kChunks = "4\r\nfull\r\n0\r\n\r\n";
    using enum copy_place;
    return std::vector<refusal_copy>{
      { "AroundHead", AroundRequest, kFull, true, kLength, "", "-Not" },
      { "AroundBody", AroundRequest, kFull, true, kLong, kBody, "01234" },
      { "RunningHead", WhileRunning, kFull, true, kLength, "", "-Not" },
      { "RunningNoId", WhileRunning, kFull, false, kLength, "", "-Not" },
      { "RunningBody", WhileRunning, kFull, true, kLong, kBody, "01234" },
      { "RunningOther", WhileRunning, kOther, true, kLength, "", "Retry" },
      { "RunningChunked", WhileRunning, kFull, true, kChunked, kChunks, "ful" },
      { "Joined", JoinedToAnswer, kFull, true, kLength, "", "" },
      { "JoinedNoId", JoinedToAnswer, kOther, false, kLong, kBody, "" },
      { "JoinedChunked", JoinedToAnswer, kFull, false, kChunked, kChunks, "" },
      { "JoinedInterim", JoinedToAnswer, "103 Early Hints", true, "", "", "" },
      { "TornReason", TornBeforeAnswer, kFull, true, kLength, "", "503 Serv" },
      { "TornOther", TornBeforeAnswer, kOther, true, kLength, "", "421 Mis" },
      { "TornValue", TornBeforeAnswer, kFull, false, kLength, "", "After: 3" },
      { "TornName", TornBeforeAnswer, kFull, false, kLength, "", "Retry" },
      { "TornBody", TornBeforeAnswer, kFull, false, kLong, kBody, "01234" },
      { "TornChunk", TornBeforeAnswer, kFull, false, kChunked, kChunks, "ful" },
      { "Unframed", TornBeforeAnswer, kFull, true, "", "", "\r\n\r\n" },
      { "Behind", BehindAnswer, kFull, true, kLength, "", "-Not" },
      { "BehindNoId", BehindAnswer, kOther, false, kLong, kBody, "01234" },
      { "WithinStream", WithinStream, kFull, true, kLength, "", "" },
      { "BehindStream", BehindStream, kFull, true, kLength, "", "" },
    };
  }()),
  [](const auto& aInfo) { return aInfo.param.mName; });

// Guards against the copy of a refusal that is taken for the answer to a probe:
// it would change for how long the server counts as cold.
TEST_F(repeated_refusals_test, CopyIsNoAnswerToAProbe)
{
  const std::string copy =
    Refusal("503 Service Unavailable",
            "",
            "Lentilswitch-Cold-Ms: 30000\r\nContent-Length: 0\r\n");
  mServer.mScript =
    [&](std::size_t aNumber, const std::string&, tcp_stream& aStream) {
      if (aNumber > 1) {
        mServer.FirstStream().Write(copy);
      }
      aStream.Write(Success("") + copy);
    };
  gateway_service service;
  service.mName = service_id{ "app" };
  service.mHealthPath = "/health";
  upstream_registry registry{ placement_settings{} };
  registry.SetService(service);
  server_entry entry;
  entry.mId = upstream_id{ "i-1" };
  entry.mService = service.mName;
  entry.mAddress = mServer.Address();
  registry.Apply(entry, mTime.Now());
  std::vector<unsigned> statuses;
  server_probe probe(
    [&](const probe_target&, const http_client_response& aResponse) {
      statuses.push_back(aResponse.mStatus);
    });
  mTimer.Every(milliseconds(10), [&] { probe.OnTick(registry, mTime.Now()); });
  ASSERT_TRUE(RunUntil([&] { return mServer.mIds.size() == 3; }));
  RunFor(milliseconds(50));
  EXPECT_EQ(statuses, (std::vector<unsigned>{ 200, 200, 200 }));
}
