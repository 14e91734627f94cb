#include <fmt/format.h>

#include "GatewayFixture.h"

namespace {

using std::chrono::milliseconds;

constexpr const char* kPrompt =
  "Lentilswitch-Model: m\r\nLentilswitch-Token-Counts: 100,50\r\n"
  "Lentilswitch-Prompt-Prefix: aa:60,bb:40\r\n";
constexpr const char* kFirstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
// Time from the last byte of a response to the end of its connection, in which
// the gateway reads the byte.
constexpr milliseconds kReadTime(30);

/// How a server ends the connection after its last byte.
enum class connection_end
{
  Close,
  Reset,
  KeepOpen,
};

/// Bytes that a server sends as its response, and how its connection ends.
struct raw_response
{
  std::string mBytes;
  connection_end mEnd = connection_end::Close;
};

/// A server that sends fixed bytes whenever a request arrives.
class raw_response_server final
  : private tcp_listener::acceptor
  , private tcp_observer
{
public:
  /// Called with the head of a request.
  using script = std::function<raw_response(const std::string&)>;

  explicit raw_response_server(script aScript)
    : mScript(std::move(aScript))
  {
    std::string error;
    mListener = tcp_listener::Listen({ "127.0.0.1", 0 }, *this, error);
  }

  std::string Address() const { return FormatTcpAddress(mListener->Address()); }

  unsigned mRequests = 0;

private:
  void OnAccept(int aDescriptor) override
  {
    mReceived.clear();
    mStream = tcp_stream::Adopt(aDescriptor, {}, *this);
  }
  void OnData(std::string_view aBytes) override
  {
    mReceived.append(aBytes);
    if (mReceived.find("\r\n\r\n") == std::string::npos) {
      return;
    }
    ++mRequests;
    const raw_response response = mScript(std::exchange(mReceived, {}));
    mStream->Write(response.mBytes);
    if (response.mEnd == connection_end::KeepOpen) {
      return;
    }
    const bool resets = response.mEnd == connection_end::Reset;
    mEnd.Once(kReadTime, [this, resets] {
      if (resets) {
        mStream->Reset();
      } else {
        mStream->Close();
      }
    });
  }
  void OnEnd(tcp_end_reason) override { mEnd.Cancel(); }

  script mScript;
  std::unique_ptr<tcp_listener> mListener;
  std::shared_ptr<tcp_stream> mStream;
  std::string mReceived;
  loop_timer mEnd;
};

/// Head of a response to the request with the given head.
std::string Head(const std::string& aRequest,
                 const std::string& aStatusLine,
                 const std::string& aHeaders)
{
  constexpr std::string_view kId = "Lentilswitch-Request-Id: ";
  const auto id = aRequest.find(kId);
  const auto end = aRequest.find("\r\n", id);
  return fmt::format("{}\r\n{}\r\nLentilswitch-Server-Stamp: stamp\r\n{}\r\n",
                     aStatusLine,
                     aRequest.substr(id, end - id),
                     aHeaders);
}

/// Chunked event stream that breaks off after two events.
raw_response BrokenStream(const std::string& aRequest)
{
  return { Head(aRequest,
                "HTTP/1.1 200 OK",
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n") +
             fmt::format("{:x}\r\n{}\r\n",
                         std::string_view(kFirstEvents).size(),
                         kFirstEvents),
           connection_end::Reset };
}

bool Resumes(const std::string& aRequest)
{
  return aRequest.find("Last-Event-Id: ") != std::string::npos;
}

/// What a server answers instead of the rest of a stream.
struct wrong_answer
{
  const char* mName;
  const char* mStatusLine;
  const char* mHeaders;
  const char* mBody;
};

constexpr const char* kEvents = "Content-Type: text/event-stream\r\n";

const std::vector<wrong_answer> kWrongAnswers = {
  { "client error",
    "HTTP/1.1 404 Not Found",
    "Content-Length: 5\r\n",
    "error" },
  { "redirect",
    "HTTP/1.1 302 Found",
    "Location: /x\r\nContent-Length: 4\r\n",
    "text" },
  { "server error",
    "HTTP/1.1 500 Internal Server Error",
    "Content-Length: 5\r\n",
    "error" },
  { "server error as events",
    "HTTP/1.1 500 Internal Server Error",
    "Content-Type: text/event-stream\r\nContent-Length: 17\r\n",
    "id: 3\ndata: err\n\n" },
  { "server error without length",
    "HTTP/1.1 500 Internal Server Error",
    "",
    "error" },
  { "server error of HTTP/1.0",
    "HTTP/1.0 500 Internal Server Error",
    "",
    "error" },
  { "text",
    "HTTP/1.1 200 OK",
    "Content-Type: text/plain\r\n"
    "Content-Length: 17\r\n",
    "id: 3\ndata: txt\n\n" },
  { "no content type", "HTTP/1.1 200 OK", "Content-Length: 4\r\n", "text" },
  { "no content", "HTTP/1.1 204 No Content", "", "" },
  { "no content as events",
    "HTTP/1.1 204 No Content",
    "Content-Type: text/event-stream\r\n",
    "" },
  { "empty stream",
    "HTTP/1.1 200 OK",
    "Content-Type: text/event-stream\r\nContent-Length: 0\r\n",
    "" },
  { "empty chunked stream",
    "HTTP/1.1 200 OK",
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
    "0\r\n\r\n" },
  { "empty stream without length", "HTTP/1.1 200 OK", kEvents, "" },
  { "empty stream of HTTP/1.0", "HTTP/1.0 200 OK", kEvents, "" },
  { "event without identity",
    "HTTP/1.1 200 OK",
    "Content-Type: text/event-stream\r\nContent-Length: 9\r\n",
    "data: x\n\n" },
  { "event with a text as identity",
    "HTTP/1.1 200 OK",
    "Content-Type: text/event-stream\r\nContent-Length: 15\r\n",
    "id: x\ndata: x\n\n" },
  { "event behind a gap",
    "HTTP/1.1 200 OK",
    "Content-Type: text/event-stream\r\nContent-Length: 15\r\n",
    "id: 4\ndata: x\n\n" },
  { "head of another response",
    "HTTP/1.1 200 OK",
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n" },
  { "break in the size of a chunk",
    "HTTP/1.1 200 OK",
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
    "1" },
  { "break in the trailer",
    "HTTP/1.1 200 OK",
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
    "0\r\nX: " },
  { "no HTTP", "nonsense", "", "nonsense" },
};

class broken_response_test : public gateway_fixture
{
protected:
  raw_response_server& AddRawServer(const std::string& aId,
                                    const std::string& aService,
                                    raw_response_server::script aScript)
  {
    mRawServers.push_back(
      std::make_unique<raw_response_server>(std::move(aScript)));
    raw_response_server& server = *mRawServers.back();
    mStore.Put(
      { "servers", "", aId },
      fmt::format(R"({{"service":"{}","address":"{}","zone":"z1","slots":8,)"
                  R"("version":"v1","state":"ready","seq":1,"born":1}})",
                  aService,
                  server.Address()));
    return server;
  }

  /// Ends the node and its servers, so that no server is suspected for what it
  /// did before.
  void StartAnew()
  {
    mNode.reset();
    mRawServers.clear();
  }

  /// A client begins a stream, which breaks off, and resumes it.
  std::unique_ptr<client_exchange> BeginAndResume(unsigned aNumber)
  {
    const std::string prompt =
      fmt::format("Lentilswitch-Token-Counts: 100,50\r\n"
                  "Lentilswitch-Prompt-Prefix: doc{}:60,own{}:40\r\n",
                  aNumber,
                  aNumber);
    const auto begun = Call(
      "POST",
      "/s/x",
      fmt::format("Lentilswitch-Request-Id: first-{}\r\n{}", aNumber, prompt),
      fmt::format("question {}", aNumber));
    EXPECT_EQ(begun->mBody, kFirstEvents);
    return Call("POST",
                "/s/x",
                fmt::format("Lentilswitch-Request-Id: second-{}\r\n"
                            "Resumes: first-{}\r\nLast-Event-Id: 2\r\n{}",
                            aNumber,
                            aNumber,
                            prompt),
                fmt::format("question {}", aNumber));
  }

  std::vector<std::unique_ptr<raw_response_server>> mRawServers;
};

} // namespace

// Guards against bytes of another answer within a stream that has begun, and
// against an end that its server did not state.
TEST_F(broken_response_test, OnlyFurtherEventsContinueABegunStream)
{
  for (const wrong_answer& answer : kWrongAnswers) {
    SCOPED_TRACE(answer.mName);
    const auto script = [&](const std::string& aRequest) -> raw_response {
      if (!Resumes(aRequest)) {
        return BrokenStream(aRequest);
      }
      return { Head(aRequest, answer.mStatusLine, answer.mHeaders) +
               answer.mBody };
    };
    AddRawServer("i-1", "engine", script);
    AddRawServer("i-2", "engine", script);
    StartNode();
    const auto exchange = Call("POST", "/r/x", kPrompt, "b");
    EXPECT_EQ(mRawServers[0]->mRequests + mRawServers[1]->mRequests, 2U);
    EXPECT_EQ(exchange->mBody, kFirstEvents);
    EXPECT_FALSE(exchange->mComplete);
    StartAnew();
  }
}

// Guards against a resumed stream in which the client finds something else than
// further events: the client has the begin of the stream from another response.
TEST_F(broken_response_test, ClientsThatResumeGetOnlyFurtherEvents)
{
  const wrong_answer* current = nullptr;
  const auto script = [&](const std::string& aRequest) {
    return Resumes(aRequest) ? raw_response{ Head(aRequest,
                                                  current->mStatusLine,
                                                  current->mHeaders) +
                                             current->mBody }
                             : BrokenStream(aRequest);
  };
  AddRawServer("i-1", "engine", script);
  AddRawServer("i-2", "engine", script);
  StartNode();
  for (unsigned i = 0; i < kWrongAnswers.size(); ++i) {
    current = &kWrongAnswers[i];
    SCOPED_TRACE(current->mName);
    const auto exchange = BeginAndResume(i);
    const std::string_view statusLine(current->mStatusLine);
    const bool failure = statusLine.find(" 404 ") != std::string_view::npos ||
                         statusLine.find(" 302 ") != std::string_view::npos ||
                         statusLine.find(" 500 ") != std::string_view::npos;
    // Failures of the server are passed on, and are no part of a stream.
    if (failure) {
      EXPECT_GE(exchange->mResponse.mStatus, 300U);
    } else {
      EXPECT_EQ(exchange->mResponse.mStatus, 502U);
    }
    EXPECT_EQ(mRawServers[0]->mRequests + mRawServers[1]->mRequests,
              2 * (i + 1));
  }
}

// Guards against events that a client which resumes a stream gets twice,
// because the server begins anew.
TEST_F(broken_response_test, ClientsThatResumeGetNoEventTwice)
{
  AddRawServer("i-1", "engine", [](const std::string& aRequest) {
    return Resumes(aRequest)
             ? raw_response{ Head(aRequest, "HTTP/1.1 200 OK", kEvents) +
                             kFirstEvents + "id: 3\ndata: c\n\n" }
             : BrokenStream(aRequest);
  });
  StartNode();
  EXPECT_EQ(BeginAndResume(1)->mBody, "id: 3\ndata: c\n\n");
}

// Guards against a response that breaks off behind its head and reaches the
// client as a complete empty one.
TEST_F(broken_response_test, SuccessWithoutLengthAndBodyIsNotComplete)
{
  for (const connection_end end :
       { connection_end::Close, connection_end::Reset }) {
    const auto script = [end](const std::string& aRequest) {
      return raw_response{ Head(aRequest, "HTTP/1.1 200 OK", ""), end };
    };
    AddRawServer("i-1", "app", script);
    AddRawServer("i-2", "app", script);
    StartNode();
    EXPECT_EQ(Call("POST", "/o/x", {}, "b")->mResponse.mStatus, 502U);
    EXPECT_EQ(Call("GET", "/l/x")->mResponse.mStatus, 502U);
    StartAnew();
  }
}

// Guards against failures of requests that may be repeated after a response
// that broke off behind its head.
TEST_F(broken_response_test, RepeatsAfterSuccessWithoutLengthAndBody)
{
  unsigned requests = 0;
  const auto script = [&requests](const std::string& aRequest) {
    return ++requests == 1
             ? raw_response{ Head(aRequest, "HTTP/1.1 200 OK", "") }
             : raw_response{
                 Head(aRequest, "HTTP/1.1 200 OK", "Content-Length: 4\r\n") +
                   "done",
                 connection_end::KeepOpen
               };
  };
  AddRawServer("i-1", "app", script);
  AddRawServer("i-2", "app", script);
  StartNode();
  const auto exchange = Call("GET", "/l/x");
  EXPECT_EQ(exchange->mResponse.mStatus, 200U);
  EXPECT_EQ(exchange->mBody, "done");
}

// Guards against empty responses that fail although their server states that
// they are empty.
TEST_F(broken_response_test, EmptyBodiesWithLengthAreComplete)
{
  AddRawServer("i-1", "app", [](const std::string& aRequest) {
    return raw_response{ Head(
      aRequest, "HTTP/1.1 200 OK", "Content-Length: 0\r\n") };
  });
  StartNode();
  const auto exchange = Call("POST", "/o/x", {}, "b");
  EXPECT_EQ(exchange->mResponse.mStatus, 200U);
  EXPECT_TRUE(exchange->mComplete);
}
