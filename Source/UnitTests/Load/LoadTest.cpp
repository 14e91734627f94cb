#include <fstream>
#include <sstream>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "Load/EventStream.h"
#include "Load/Histogram.h"
#include "Load/LoadGenerator.h"

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

const std::string kTokens =
  "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
  "data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n";
const std::string kUsage = "data: {\"choices\":[],\"usage\":"
                           "{\"prompt_tokens\":7,\"completion_tokens\":2}}\n\n";
const std::string kDone = "data: [DONE]\n\n";

/// A node that answers by API key.
class small_server
{
public:
  small_server()
    : mServer(soup_server_new(nullptr, nullptr))
  {
    soup_server_add_handler(
      mServer,
      nullptr,
      [](SoupServer*,
         SoupServerMessage* aMessage,
         const char* aPath,
         GHashTable*,
         gpointer aSelf) {
        static_cast<small_server*>(aSelf)->Handle(aMessage, aPath);
      },
      this,
      nullptr);
    EXPECT_TRUE(soup_server_listen_local(
      mServer, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr));
    GSList* uris = soup_server_get_uris(mServer);
    mAddress = { "127.0.0.1",
                 static_cast<std::uint16_t>(
                   g_uri_get_port(static_cast<GUri*>(uris->data))) };
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
  }
  ~small_server()
  {
    soup_server_disconnect(mServer);
    g_object_unref(mServer);
  }

  socket_address mAddress;
  std::vector<socket_address> mEndpoints;
  int mEndpointRequests = 0;
  int mCompletions = 0;
  /// Attempts of each idempotency key.
  std::map<std::string, int> mKeys;

private:
  void Handle(SoupServerMessage* aMessage, std::string_view aPath)
  {
    SoupMessageHeaders* headers =
      soup_server_message_get_request_headers(aMessage);
    if (aPath == "/v1/endpoints") {
      ++mEndpointRequests;
      std::string list;
      for (const socket_address& endpoint : mEndpoints) {
        list += fmt::format("{}{{\"address\":\"{}\"}}",
                            list.empty() ? "" : ",",
                            FormatSocketAddress(endpoint));
      }
      Answer(aMessage, 200, "{\"endpoints\":[" + list + "]}");
      return;
    }
    ++mCompletions;
    const std::string key =
      soup_message_headers_get_one(headers, "Authorization");
    const int attempt =
      ++mKeys[soup_message_headers_get_one(headers, "Idempotency-Key")];
    if (key == "Bearer busy" && attempt == 1) {
      soup_message_headers_append(
        soup_server_message_get_response_headers(aMessage), "Retry-After", "1");
      Answer(aMessage, 503, Error("queue_full", "not_run", 20));
    } else if (key == "Bearer full") {
      Answer(aMessage, 429, Error("over_budget", "not_run", 5));
    } else if (key == "Bearer unclear") {
      Answer(aMessage, 502, Error("upstream_lost", "unknown", 5));
    } else if (key == "Bearer cut") {
      Answer(aMessage, 200, kTokens + kUsage);
    } else if (key == "Bearer unpriced") {
      Answer(aMessage, 200, kTokens + kDone);
    } else if (key == "Bearer failing") {
      Answer(aMessage,
             200,
             kTokens + "data: " + Error("upstream_lost", "ran", 0) + "\n\n");
    } else {
      Answer(aMessage, 200, kTokens + kUsage + kDone);
    }
  }

  static std::string Error(const char* aCode, const char* aRun, int aAfter)
  {
    return fmt::format("{{\"error\":{{\"code\":\"{}\",\"message\":\"m\","
                       "\"run\":\"{}\",\"retry_after_ms\":{}}}}}",
                       aCode,
                       aRun,
                       aAfter);
  }

  static void Answer(SoupServerMessage* aMessage,
                     unsigned aStatus,
                     const std::string& aBody)
  {
    soup_server_message_set_status(aMessage, aStatus, nullptr);
    soup_server_message_set_response(aMessage,
                                     "text/event-stream",
                                     SOUP_MEMORY_COPY,
                                     aBody.data(),
                                     aBody.size());
  }

  SoupServer* mServer;
};

workload OneSource(const std::string& aKey, const socket_address& aNode)
{
  workload load;
  load.mNodes = { aNode };
  load.mDuration = milliseconds(5000);
  load.mDrain = milliseconds(2000);
  load.mMaxConcurrent = 50;
  load.mMaxRequests = 20;
  load.mMaxAttempts = 3;
  load.mSources = { { { "acct" },
                      aKey,
                      work_rank::Urgent,
                      { "quick" },
                      200,
                      { 1, 5 },
                      { 1, 5 } } };
  return load;
}

load_run_report RunLoad(const workload& aWorkload)
{
  const system_time_source time;
  load_generator generator(aWorkload, time, {}, {});
  generator.Start();
  event_loop loop;
  EXPECT_TRUE(
    loop.RunUntil([&] { return generator.Done(); }, milliseconds(20000)));
  return generator.Report();
}

using outcome_map = std::map<std::string, std::uint64_t>;

} // namespace

// Guards against requests that ignore the endpoint answer, and against tokens
// and times that are lost between stream and report.
TEST(Load, UsesEndpointsAndCountsWholeStreams)
{
  small_server seed;
  small_server node;
  seed.mEndpoints = { node.mAddress };
  const load_run_report report = RunLoad(OneSource("good", seed.mAddress));
  EXPECT_EQ(report.mOutcomes, (outcome_map{ { "ok", 20 } }));
  EXPECT_EQ(seed.mCompletions, 0);
  EXPECT_EQ(seed.mEndpointRequests, 1);
  EXPECT_EQ(node.mCompletions, 20);
  EXPECT_EQ(node.mKeys.size(), 20U);
  EXPECT_EQ(report.mAccounts.at({ "acct" }).mOutputTokens, 40U);
  EXPECT_EQ(report.mAccounts.at({ "acct" }).mPromptTokens, 140U);
  EXPECT_EQ(report.mRanks.at("urgent").mFirstToken.Count(), 20U);
  EXPECT_EQ(report.mRanks.at("urgent").mBetweenTokens.Count(), 20U);
  EXPECT_EQ(LoadReportJson(report)["outcomes"]["ok"], 20);
  EXPECT_NE(FormatLoadTable(report).find("first token"), std::string::npos);
}

// Guards against a retry that runs as a second request, and against a retry
// of a request that may have run.
TEST(Load, RetriesOnlyWhatDidNotRunWithTheSameKey)
{
  small_server node;
  const load_run_report busy = RunLoad(OneSource("busy", node.mAddress));
  EXPECT_EQ(busy.mOutcomes, (outcome_map{ { "ok", 20 } }));
  EXPECT_EQ(busy.mRetries, 20U);
  EXPECT_EQ(node.mKeys.size(), 20U);
  EXPECT_EQ(node.mCompletions, 40);
  EXPECT_GE(busy.mRanks.at("urgent").mFirstToken.Percentile(0),
            milliseconds(20));

  const load_run_report full = RunLoad(OneSource("full", node.mAddress));
  EXPECT_EQ(full.mOutcomes, (outcome_map{ { "over_budget", 20 } }));
  EXPECT_EQ(full.mRetries, 40U);

  const load_run_report unclear = RunLoad(OneSource("unclear", node.mAddress));
  EXPECT_EQ(unclear.mOutcomes, (outcome_map{ { "upstream_lost", 20 } }));
  EXPECT_EQ(unclear.mRetries, 0U);
}

// Guards against a truncated response being counted as a success.
TEST(Load, TellsBrokenStreamsApart)
{
  small_server node;
  const auto outcome = [&node](const char* aKey) {
    return RunLoad(OneSource(aKey, node.mAddress)).mOutcomes.begin()->first;
  };
  EXPECT_EQ(outcome("cut"), "incomplete");
  EXPECT_EQ(outcome("unpriced"), "no_usage");
  EXPECT_EQ(outcome("failing"), "upstream_lost");
  const socket_address closed{ "127.0.0.1", 1 };
  EXPECT_EQ(RunLoad(OneSource("good", closed)).mOutcomes,
            (outcome_map{ { "connect_failed", 20 } }));
}

// Guards against a full generator turning the open loop into a closed one.
TEST(Load, SkipsArrivalsOverTheBound)
{
  small_server node;
  workload load = OneSource("busy", node.mAddress);
  load.mMaxConcurrent = 1;
  const load_run_report report = RunLoad(load);
  EXPECT_EQ(report.mMostOpen, 1U);
  EXPECT_GT(report.mOutcomes.at("skipped"), 0U);
  EXPECT_EQ(report.mRequests, 20U);
}

TEST(Load, ReadsEndpointsOfBothForms)
{
  const known_endpoints answer = ReadEndpoints(
    "{\"endpoints\":[\"10.0.0.1:1\",{\"address\":\"10.0.0.2:2\"},7,\"x\"],"
    "\"cache_ms\":5}");
  EXPECT_EQ(answer.mAddresses.size(), 2U);
  EXPECT_EQ(answer.mCache, milliseconds(5));
  EXPECT_TRUE(ReadEndpoints("no").mAddresses.empty());
}

// Guards against events that are cut by the boundaries of reads.
TEST(EventSplitter, JoinsEventsAcrossReads)
{
  const std::string text = ": note\r\ndata: one\r\n\r\ndata: 2\ndata: 3\n\n";
  event_splitter splitter;
  std::vector<std::string> events;
  for (const char byte : text) {
    splitter.Feed(std::string_view(&byte, 1),
                  [&](std::string_view aData) { events.emplace_back(aData); });
  }
  EXPECT_EQ(events, (std::vector<std::string>{ "one", "2\n3" }));
  EXPECT_FALSE(splitter.Partial());
}

TEST(LatencyHistogram, PercentilesAreWithinABucket)
{
  latency_histogram histogram;
  EXPECT_EQ(histogram.Percentile(0.5), microseconds(0));
  for (int i = 1; i <= 100000; ++i) {
    histogram.Add(microseconds(i));
  }
  for (const double share : { 0.01, 0.5, 0.95, 0.99, 0.999 }) {
    const double exact = share * 100000;
    const auto value = static_cast<double>(histogram.Percentile(share).count());
    EXPECT_GE(value, exact);
    EXPECT_LE(value, exact * (1 + 1.0 / 32) + 1);
  }
  EXPECT_EQ(histogram.Percentile(1), microseconds(100000));
  histogram.Add(std::chrono::hours(24 * 365));
  EXPECT_EQ(histogram.Percentile(1), std::chrono::hours(24 * 365));
  latency_histogram sum;
  sum.Merge(histogram);
  EXPECT_EQ(sum, histogram);
}

TEST(Workload, ReportsFaultsWithLines)
{
  const auto load = ParseWorkload(
    "{ \"nodes\": [], \"duration_ms\": 5,\n\"sources\": [ { \"account\": "
    "\"a\", \"api_key\": \"k\",\n\"model\": \"m\", \"rate\": 1, "
    "\"prompt_tokens\": { \"least\": 9, \"most\": 3 } } ] }",
    "load.json");
  ASSERT_TRUE(load.has_error());
  EXPECT_EQ(FormatConfigErrors(load.error()),
            "load.json:1: /nodes: must name a node\n"
            "load.json:3: /sources/0/prompt_tokens: \"least\" is more than "
            "\"most\"\n");
}

TEST(Workload, ReferenceParses)
{
  std::ifstream file(LENTILSWITCH_ROOT "/Reference/workload.json");
  std::ostringstream text;
  text << file.rdbuf();
  const auto load = ParseWorkload(text.str(), "workload.json");
  ASSERT_TRUE(load.has_value()) << FormatConfigErrors(load.error());
  EXPECT_EQ(load.value().mSources.size(), 3U);
}
