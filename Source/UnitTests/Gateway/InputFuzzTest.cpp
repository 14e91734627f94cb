#include <array>
#include <cstdlib>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

#include <fmt/format.h>

#include "Common/CallbackGuard.h"
#include "Common/JsonText.h"
#include "Common/TextCodec.h"
#include "Gateway/ClaimRow.h"
#include "Gateway/GrantRow.h"
#include "Gateway/PeerDatagram.h"
#include "GatewayFixture.h"
#include "Net/ParserFeed.h"

// Seeded structure-aware fuzzing of what comes in over connections: both
// parsers, and the decoders of datagrams, rows, entries and configurations.
// LENTILSWITCH_FUZZ_SEED and LENTILSWITCH_FUZZ_CASES set seed and number of
// cases of a run by hand.

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kDefaultSeed = 20261205;
constexpr unsigned kDefaultParserCases = 4000;
constexpr unsigned kDefaultDecoderCases = 12000;

std::uint64_t FromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* const text = std::getenv(aName);
  return text == nullptr ? aDefault
                         : ParseDecimal<std::uint64_t>(text).value_or(aDefault);
}

/// Changes messages at random places, with values at which parsers fail.
class mutator
{
public:
  explicit mutator(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  std::size_t Below(std::size_t aBound)
  {
    return aBound == 0 ? 0
                       : std::uniform_int_distribution<std::size_t>(
                           0, aBound - 1)(mRandom);
  }

  std::string Mutate(std::string aText)
  {
    for (std::size_t changes = 1 + Below(3); changes > 0; --changes) {
      Change(aText);
    }
    return aText;
  }

private:
  void Change(std::string& aText)
  {
    static const std::vector<std::string> sTokens = {
      "0",
      "-1",
      "9223372036854775807",
      "18446744073709551616",
      "1e309",
      "NaN",
      "\r\n",
      "\r\n\r\n",
      "\n",
      "\r",
      std::string(1, '\0'),
      "\xff\xfe",
      ":",
      ",",
      ";",
      "{",
      "}",
      "[[[[[[[[",
      "\"",
      "null",
      "true",
      "\\ud800",
      "%00",
      "HTTP/1.1 200 OK\r\n",
      "Transfer-Encoding: chunked\r\n",
      "Content-Length: 5\r\n",
      "Content-Length: -5\r\n",
      "0\r\n\r\n",
      "ffffffffffffffff\r\n",
      "Connection: close\r\n",
      "Expect: 100-continue\r\n"
    };
    const std::size_t place = Below(aText.size() + 1);
    const std::size_t length =
      Below(std::min<std::size_t>(aText.size() - place + 1, 40));
    switch (Below(7)) {
      case 0:
        aText.insert(place, sTokens[Below(sTokens.size())]);
        break;
      case 1:
        aText.replace(place, length, sTokens[Below(sTokens.size())]);
        break;
      case 2:
        aText.erase(place, length);
        break;
      case 3:
        aText.insert(place, aText.substr(place, length));
        break;
      case 4:
        aText.resize(place);
        break;
      case 5:
        if (place < aText.size()) {
          aText[place] = static_cast<char>(Below(256));
        }
        break;
      default:
        aText.insert(
          place, Below(20) == 0 ? 70000 : Below(200), "aA0 :\n"[Below(6)]);
        break;
    }
  }

  std::mt19937_64 mRandom;
};

const std::vector<std::string> kRequests = {
  "GET /l/x HTTP/1.1\r\nHost: a.example\r\n\r\n",
  "POST /o/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\n\r\nhello",
  "POST /s/x HTTP/1.1\r\nHost: a.example\r\n"
  "Lentilswitch-Token-Counts: 100,50\r\nLentilswitch-Prompt-Prefix: "
  "aa:60,b:4\r\n"
  "Lentilswitch-Deadline-Ms: 100\r\nAuthorization: Bearer key-1\r\n"
  "Last-Event-Id: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
  "4;a=b\r\nbody\r\n0\r\nX: y\r\n\r\n",
  "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n"
};
const std::vector<std::string> kResponses = {
  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: timeout=5\r\n\r\nhello",
  std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") +
    "4;a=b\r\nbody\r\n0\r\nX: y\r\n\r\n",
  std::string("HTTP/1.1 100 Continue\r\n\r\n") +
    "HTTP/1.1 200 OK\r\n\r\nuntil close",
  std::string("HTTP/1.1 503 Full\r\nRetry-After: 1.5\r\n") +
    "Lentilswitch-Not-Executed: 1\r\nLentilswitch-Server-Limit: 10\r\n" +
    "Content-Length: 0\r\n\r\n",
  "HTTP/1.0 204 None\r\nConnection: close\r\n\r\n"
};

/// Ends every exchange; what it gets does not matter.
class ignoring_observer final
  : public http_client_exchange_observer
  , public http_request_handler
{
public:
  explicit ignoring_observer(const gateway_codec& aCodec)
    : mCodec(aCodec)
  {
  }
  bool OnResponse(http_client_connection&,
                  http_client_response aResponse) override
  {
    mCodec.ReadAnswer(aResponse);
    return true;
  }
  void OnBody(std::string_view) override {}
  void OnComplete(bool) override { mEnded = true; }
  void OnExchangeFailed(exchange_failure) override { mEnded = true; }
  void OnRequest(http_server_connection& aConnection,
                 http_server_request aRequest) override
  {
    const gateway_request request =
      mCodec.ReadRequest(std::move(aRequest), time_point());
    // Every value is sound, or the request is marked as invalid.
    EXPECT_GE(request.mPromptTokens, 0);
    EXPECT_GE(request.mMaxOutputTokens, 0);
    EXPECT_GE(request.mPromptTokens + request.mMaxOutputTokens, 0);
    aConnection.Respond({}, "x");
  }
  void OnClientDisconnected(http_server_connection&) override {}
  void OnClientDrained(http_server_connection&) override {}
  void OnConnectionClosed(http_server_connection&) override {}

  bool mEnded = false;

private:
  const gateway_codec& mCodec;
};

/// Writes each message to the connection that was accepted last, then closes.
class message_server final
  : private tcp_listener::acceptor
  , private tcp_observer
{
public:
  message_server()
  {
    std::string error;
    mListener = tcp_listener::Listen({ "127.0.0.1", 0 }, *this, error);
  }
  const tcp_address& Address() const { return mListener->Address(); }
  std::string mMessage;

private:
  void OnAccept(int aDescriptor) override
  {
    mStream = tcp_stream::Adopt(aDescriptor, {}, *this);
    mStream->Write(mMessage);
    mStream->CloseAfterDrain();
  }
  void OnData(std::string_view) override {}
  void OnEnd(tcp_end_reason) override {}

  std::unique_ptr<tcp_listener> mListener;
  std::shared_ptr<tcp_stream> mStream;
};

class input_fuzz_test : public testing::Test
{
protected:
  mutator mMutator{ FromEnvironment("LENTILSWITCH_FUZZ_SEED", kDefaultSeed) };
  unsigned mParserCases = static_cast<unsigned>(
    FromEnvironment("LENTILSWITCH_FUZZ_CASES", kDefaultParserCases));
  unsigned mDecoderCases = static_cast<unsigned>(
    FromEnvironment("LENTILSWITCH_FUZZ_CASES", kDefaultDecoderCases));
  event_loop mLoop;
  system_time_source mTime;
  platform_codec mCodec;
  ignoring_observer mObserver{ mCodec };
};

/// Copies a message to the heap, so that the sanitizers see reads behind it.
std::string Exact(const std::string& aText)
{
  std::string copy = aText;
  copy.shrink_to_fit();
  return copy;
}

peer_datagram SampleDatagram(std::size_t aKind)
{
  switch (aKind % 4) {
    case 0: {
      node_report report;
      report.mAddress = "10.0.0.1:7000";
      report.mName = "node";
      report.mFreeTokens = { { 1, 2 }, { 3, 4 } };
      return report;
    }
    case 1:
      return token_request{ "10.0.0.1:7000", 1, 2, account_id{ "a" }, 3, 4 };
    case 2:
      return token_transfer{ 1, 2, account_id{ "a" }, 3 };
    default:
      return pause_notice{ { { 1, milliseconds(5) } } };
  }
}

} // namespace

TEST_F(input_fuzz_test, RequestsEndOrAreRefused)
{
  for (unsigned i = 0; i < mParserCases; ++i) {
    const std::string message =
      mMutator.Mutate(kRequests[mMutator.Below(kRequests.size())]);
    std::array<int, 2> ends{};
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()),
              0);
    {
      http_server_connection connection(ends[0], {}, mObserver, mTime.Now());
      const std::size_t split = mMutator.Below(message.size() + 1);
      send(ends[1], message.data(), split, MSG_NOSIGNAL);
      g_main_context_iteration(nullptr, FALSE);
      send(
        ends[1], message.data() + split, message.size() - split, MSG_NOSIGNAL);
      shutdown(ends[1], SHUT_WR);
      for (int rounds = 0; rounds < 6; ++rounds) {
        g_main_context_iteration(nullptr, FALSE);
        EXPECT_LE(connection.InputBytes(),
                  parser_feed::kMaxPartBytes + message.size());
      }
    }
    close(ends[1]);
  }
  EXPECT_EQ(CallbackFailures(), 0U);
}

TEST_F(input_fuzz_test, ResponsesEndTheExchange)
{
  message_server server;
  for (unsigned i = 0; i < mParserCases; ++i) {
    server.mMessage =
      mMutator.Mutate(kResponses[mMutator.Below(kResponses.size())]);
    mObserver.mEnded = false;
    http_client_connection client(server.Address(), {});
    client.Start("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", {}, false, mObserver);
    EXPECT_TRUE(
      mLoop.RunUntil([&] { return mObserver.mEnded; }, milliseconds(2000)))
      << server.mMessage;
  }
  EXPECT_EQ(CallbackFailures(), 0U);
}

TEST_F(input_fuzz_test, DecodersBoundTheirValues)
{
  const std::string entry =
    R"({"service":"app","address":"10.0.0.1:80","zone":"z1","slots":8,)"
    R"("version":"v1","state":"ready","seq":1,"born":1,"coldRemainingMs":5})";
  const std::string config =
    R"({"version":7,"routes":[{"name":"s","host":"a","prefix":"/s/","kind":)"
    R"("streaming","timeoutMs":2000,"targetLatencyMs":600,"priority":1,)"
    R"("service":"e","maxAttempts":1}],"services":[{"name":"e","healthPath":)"
    R"("/h","maxConns":100,"engine":{"slots":8,"kvCapacity":100,"stride":5}}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576},)"
    R"("tenants":[{"name":"c","apiKeys":["k"],"prepaid":100000}]})";
  claim_row sample;
  sample.mRun = "run";
  sample.mAccounts["a"] = { 9, 5, 7 };
  const std::string claim = WriteClaimRow(sample);
  const std::string grant = WriteGrantRow({ 5, "run", 1 });
  for (unsigned i = 0; i < mDecoderCases; ++i) {
    const std::string datagram =
      Exact(mMutator.Mutate(WritePeerDatagram(SampleDatagram(i))));
    EXPECT_NO_THROW({
      const auto parsed = ParsePeerDatagram(datagram);
      if (parsed) {
        if (const auto* transfer = std::get_if<token_transfer>(&*parsed)) {
          EXPECT_GT(transfer->mTokens, 0);
          EXPECT_LE(transfer->mTokens, kMaxWholeNumber);
        }
      }
    });
    EXPECT_NO_THROW({
      const auto upstream = mCodec.ReadUpstream(
        { { "servers", "", "i-1" }, Exact(mMutator.Mutate(entry)), 1 });
      if (upstream) {
        EXPECT_NE(upstream->mAddress.mPort, 0);
      }
    });
    EXPECT_NO_THROW(mCodec.ReadConfig(Exact(mMutator.Mutate(config))));
    EXPECT_NO_THROW({
      const auto row = ParseClaimRow(Exact(mMutator.Mutate(claim)));
      if (row) {
        for (const auto& [account, tokens] : TakeableTokens(*row)) {
          EXPECT_GT(tokens, 0);
        }
      }
    });
    EXPECT_NO_THROW(ParseGrantRow(Exact(mMutator.Mutate(grant))));
  }
}
