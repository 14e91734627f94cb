#include <map>
#include <random>

#include <fmt/format.h>

#include "GatewayFixture.h"

namespace {

using std::chrono::milliseconds;

// Time in which a node has read the changes of each table.
constexpr milliseconds kFollowTime(900);

std::string Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

/// A field of an entry and its JSON text.
using field_text = std::pair<std::string, std::string>;

/// Text of an entry of the service `app` in which fields are replaced.
std::string Entry(const std::string& aAddress,
                  const std::vector<field_text>& aReplaced)
{
  std::map<std::string, std::string> fields = {
    { "service", "\"app\"" }, { "address", fmt::format("\"{}\"", aAddress) },
    { "zone", "\"z1\"" },     { "slots", "8" },
    { "version", "\"v1\"" },  { "state", "\"ready\"" },
    { "seq", "1" },           { "born", "1" }
  };
  for (const auto& [name, text] : aReplaced) {
    fields[name] = text;
  }
  std::string entry;
  for (const auto& [name, text] : fields) {
    if (!text.empty()) {
      entry +=
        fmt::format("{}\"{}\":{}", entry.empty() ? "{" : ",", name, text);
    }
  }
  return entry + "}";
}

/// Values of fields that make an entry name no server.
std::vector<field_text> UnusableFields()
{
  std::vector<field_text> fields;
  for (const char* name : { "seq", "slots", "born" }) {
    for (const char* text : { "-1",
                              "1.5",
                              "1e30",
                              "1e999",
                              "9007199254740993",
                              "18446744073709551615",
                              "18446744073709551616",
                              "\"1\"",
                              "\"NaN\"",
                              "null",
                              "[]",
                              "{}" }) {
      fields.emplace_back(name, text);
    }
  }
  fields.emplace_back("slots", "4294967297");
  for (const char* name :
       { "service", "address", "zone", "version", "state" }) {
    for (const char* text : { "", "1", "null", "[]", "\"\xff\"" }) {
      fields.emplace_back(name, text);
    }
    fields.emplace_back(name, Nested(30000));
  }
  fields.emplace_back("state", "\"gone\"");
  for (const char* port : { "0", "65536", "-1", "", "x", "1e1" }) {
    fields.emplace_back("address", fmt::format("\"127.0.0.1:{}\"", port));
  }
  fields.emplace_back("address", "\"127.0.0.1\\u0000x:80\"");
  fields.emplace_back("coldRemainingMs", Nested(30000));
  fields.emplace_back("other", Nested(30000));
  return fields;
}

stored_row Row(const std::string& aKey, const std::string& aValue)
{
  return { { "servers", "", aKey }, aValue, 1, false };
}

class unusable_rows_test : public gateway_fixture
{
protected:
  /// Path that the server `i-1` of the service `app` serves.
  void ExpectServed(const std::string& aPath = "/l/x")
  {
    const auto exchange =
      Call("POST",
           aPath,
           fmt::format("Lentilswitch-Request-Id: u{}\r\n", ++mLastRequestId),
           "b");
    EXPECT_EQ(exchange->mResponse.mStatus, 200U) << exchange->mBody;
  }
  void PutEntry(const std::string& aKey,
                const std::vector<field_text>& aReplaced,
                const std::string& aPart = {})
  {
    mStore.Put({ "servers", aPart, aKey }, Entry(mUnused.Address(), aReplaced));
  }
  /// Replaces a server by another and waits until the node sends to that one.
  bool FollowsServer(const std::string& aOld, const std::string& aNew)
  {
    scripted_server& server = AddServer(aNew, "app");
    mStore.Remove({ "servers", "", aOld });
    for (int i = 0; i < 40 && server.mRequests.empty(); ++i) {
      ExpectServed();
      RunFor(milliseconds(50));
    }
    return !server.mRequests.empty();
  }

  /// Server to which no request may be sent.
  scripted_server mUnused{ mTime };
};

} // namespace

// Guards against a node that ends because it writes the value of a deeply
// nested field to its log.
TEST(unusable_entries, NestedFieldsNameNoServer)
{
  const platform_codec codec;
  for (const char* name : { "coldRemainingMs", "service", "other" }) {
    SCOPED_TRACE(name);
    EXPECT_FALSE(codec.ReadUpstream(
      Row("i-1", Entry("127.0.0.1:80", { { name, Nested(200000) } }))));
  }
  EXPECT_TRUE(codec.ReadUpstream(
    Row("i-1", Entry("127.0.0.1:80", { { "other", "[[{\"a\":[1.5]}]]" } }))));
}

// Guards against entries of another writer that are taken for servers, such as
// one whose negative number counts as a very large one.
TEST(unusable_entries, ValuesOutOfRangeNameNoServer)
{
  const platform_codec codec;
  EXPECT_TRUE(codec.ReadUpstream(Row("i-1", Entry("127.0.0.1:80", {}))));
  for (const auto& [name, text] : UnusableFields()) {
    EXPECT_FALSE(
      codec.ReadUpstream(Row("i-1", Entry("127.0.0.1:80", { { name, text } }))))
      << name << ' ' << text.substr(0, 30);
  }
}

// Guards against a server that is lost for good because an entry of another
// writer under its key seems to be newer than all that it writes.
TEST_F(unusable_rows_test, ServerIsUsedAgainAfterAnUnusableEntry)
{
  scripted_server& server = AddServer("i-1", "app");
  StartNode();
  for (const auto& [name, text] :
       std::vector<field_text>{ { "born", "-1" },
                                { "born", "18446744073709551615" },
                                { "seq", "-1" },
                                { "seq", "18446744073709551615" },
                                { "address", "\"127.0.0.1:99999\"" },
                                { "state", "[]" } }) {
    SCOPED_TRACE(fmt::format("{} {}", name, text));
    // A request in progress goes on meanwhile.
    http_server_connection* open = nullptr;
    std::string id;
    server.mScript = [&](http_server_connection& aConnection,
                         const http_server_request& aRequest) {
      open = &aConnection;
      id = FindHeader(aRequest.mHeaders, "Lentilswitch-Request-Id");
    };
    const auto begun =
      BeginRequest("POST",
                   "/o/x",
                   fmt::format("Lentilswitch-Request-Id: u{}\r\n"
                               "Lentilswitch-Deadline-Ms: 4000\r\n",
                               ++mLastRequestId),
                   "b");
    ASSERT_TRUE(RunUntil([&] { return open != nullptr; }));
    PutEntry("i-1", { { name, text } });
    RunFor(milliseconds(600));
    http_server_response response;
    response.mHeaders = { { "Lentilswitch-Request-Id", id },
                          { "Lentilswitch-Server-Stamp", "stamp" } };
    open->Respond(response, "done");
    ASSERT_TRUE(RunUntil([&] { return begun->Ended(); }));
    EXPECT_EQ(begun->mResponse.mStatus, 200U);
    server.mScript = nullptr;
    // Long enough for the last resort to end.
    RunFor(milliseconds(2000));
    PutServer("i-1", server, "ready");
    RunFor(kFollowTime);
    ExpectServed();
  }
  EXPECT_TRUE(mUnused.mRequests.empty());
}

// Guards against a node that loses sound entries beside unusable ones, from the
// feed, from a full read after a lost history, or at its start.
TEST_F(unusable_rows_test, FollowsTheServersBesideUnusableEntries)
{
  const auto putAll = [this](const char* aPrefix) {
    unsigned count = 0;
    for (const auto& field : UnusableFields()) {
      PutEntry(fmt::format("{}-{}", aPrefix, ++count), { field });
    }
  };
  AddServer("i-1", "app");
  putAll("before");
  StartNode();
  ExpectServed();
  putAll("feed");
  EXPECT_TRUE(FollowsServer("i-1", "i-2"));
  mStore.mHistoryFrom = ~std::uint64_t{ 0 };
  putAll("read");
  RunFor(2 * kFollowTime);
  mStore.mHistoryFrom = 0;
  EXPECT_TRUE(FollowsServer("i-2", "i-3"));
  EXPECT_TRUE(mUnused.mRequests.empty());
}

// Guards against an entry of arbitrary bytes that ends the node or names a
// server with values out of range.
TEST(unusable_entries, DamagedEntriesStayWithinTheirBounds)
{
  const platform_codec codec;
  std::mt19937 random(43); // NOLINT(cert-msc51-cpp): repeatable
  const std::string sound =
    Entry("127.0.0.1:80", { { "coldRemainingMs", "5" } });
  const std::vector<std::string> parts = {
    "[",    "{\"a\":", "1e308", "-", "99999999999", "\"", "\\ud800",
    "\xff", "null",    ",",     ":"
  };
  unsigned usable = 0;
  for (unsigned i = 0; i < 20000; ++i) {
    std::string text = sound;
    for (unsigned edits = 1 + random() % 3; edits > 0; --edits) {
      text.replace(random() % text.size(),
                   random() % 3,
                   random() % 2 == 0
                     ? std::string(1, static_cast<char>(random()))
                     : parts[random() % parts.size()]);
    }
    const auto entry = codec.ReadUpstream(Row("i-1", text));
    if (entry) {
      ++usable;
      EXPECT_GT(entry->mAddress.mPort, 0U) << text;
      EXPECT_LE(entry->mSlots, 1000000U) << text;
      EXPECT_LE(entry->mSequence, std::uint64_t{ 1 } << 53U) << text;
      EXPECT_LE(entry->mIncarnation, std::uint64_t{ 1 } << 53U) << text;
    }
  }
  EXPECT_GT(usable, 0U);
}

// Guards against a configuration with a number out of range that is put in
// force and hides all later ones.
TEST_F(unusable_rows_test, UnusableConfigurationLeavesTheLastOneInForce)
{
  AddServer("i-1", "app");
  StartNode();
  const std::string version = "\"version\": 7";
  const std::string unused = "\"version\": 50";
  const std::vector<std::pair<std::string, std::string>> changes = {
    { version, "\"version\": -1" },
    { version, "\"version\": 1e30" },
    { version, "\"version\": 18446744073709551615" },
    { version, "\"version\": 1e999" },
    { version, "\"version\": 99, \"other\": " + Nested(30000) },
    { version, "\"version\": 99, \"tenants\": " + Nested(30000) },
    { "\"idleTimeoutMs\": 15000", "\"idleTimeoutMs\": 1e300" },
    { "\"idleTimeoutMs\": 15000", "\"idleTimeoutMs\": -5" },
    { "\"timeoutMs\": 800", "\"timeoutMs\": 1e18" },
    { "\"maxAttempts\": 2", "\"maxAttempts\": -1" },
    { "\"maxConns\": 100}\n", "\"maxConns\": -1}\n" },
    { "\"slots\": 8", "\"slots\": 1e18" },
    { "\"prepaid\": 1000,", "\"prepaid\": 1e300," }
  };
  for (const auto& [before, after] : changes) {
    SCOPED_TRACE(after.substr(0, 60));
    std::string text = mConfig;
    text.replace(text.find(version), version.size(), unused);
    const std::string& changed = before == version ? unused : before;
    ASSERT_NE(text.find(changed), std::string::npos);
    text.replace(text.find(changed), changed.size(), after);
    EXPECT_FALSE(mCodec.ReadConfig(text));
    mStore.Put({ "op", "", "config" }, text);
  }
  RunFor(kFollowTime);
  ExpectServed();
  std::string next = mConfig;
  next.replace(next.find(version), version.size(), "\"version\": 8");
  next.replace(next.find("\"/l/\""), 5, "\"/n/\"");
  mStore.Put({ "op", "", "config" }, next);
  RunFor(kFollowTime);
  ExpectServed("/n/x");
}

// Guards against rows of other parts that replace or remove the server of the
// same key, and against keys that break the head of a request.
TEST_F(unusable_rows_test, OtherPartsAndKeysNameNoServer)
{
  scripted_server& server = AddServer("i-1", "app");
  StartNode();
  PutEntry("i-1", { { "seq", "9" } }, "other");
  PutEntry("i-2", {}, "other");
  for (const std::string& key :
       { std::string(), std::string("i\r\nX: y"), std::string("i\0j", 3) }) {
    PutEntry(key, {});
    EXPECT_FALSE(mCodec.ReadUpstream(Row(key, Entry(mUnused.Address(), {}))));
  }
  RunFor(kFollowTime);
  server.mRequests.clear();
  for (int i = 0; i < 8; ++i) {
    ExpectServed();
  }
  mStore.Remove({ "servers", "other", "i-1" });
  RunFor(milliseconds(2500));
  ExpectServed();
  EXPECT_EQ(server.mRequests.size(), 9U);
  EXPECT_TRUE(mUnused.mRequests.empty());
}

// Guards against a node that holds the bytes of entries that name no server,
// and against log lines for each of them.
TEST_F(unusable_rows_test, ManyLargeEntriesTakeLittleMemoryAndFewLines)
{
  constexpr std::size_t kEntries = 1000;
  constexpr std::size_t kEntryBytes = 30000;
  AddServer("i-1", "app");
  const std::string value = Nested(kEntryBytes / 2);
  for (std::size_t i = 0; i < kEntries; ++i) {
    mStore.Put({ "servers", "", fmt::format("odd-{}", i) }, value);
  }
  mSettings.mPeer.mPort = FreePort();
  testing::internal::CaptureStderr();
  StartNode();
  RunFor(2 * kFollowTime);
  mStore.mHistoryFrom = ~std::uint64_t{ 0 };
  RunFor(2 * kFollowTime);
  const std::string log = testing::internal::GetCapturedStderr();
  std::size_t lines = 0;
  for (auto at = log.find("server_entry_unusable"); at != std::string::npos;
       at = log.find("server_entry_unusable", at + 1)) {
    ++lines;
  }
  EXPECT_GE(lines, 1U);
  EXPECT_LE(lines, 20U);
  EXPECT_NE(log.find("unusable=1000"), std::string::npos);
  client_exchange copy;
  copy.mConnection =
    std::make_unique<http_client_connection>(mSettings.mPeer, tcp_liveness{});
  copy.mConnection->Start(
    "GET /snapshot HTTP/1.1\r\nHost: peer\r\n\r\n", {}, false, copy);
  ASSERT_TRUE(RunUntil([&] { return copy.Ended(); }));
  EXPECT_EQ(copy.mResponse.mStatus, 200U);
  EXPECT_LT(copy.mBody.size(), kEntries * kEntryBytes / 10);
}

// Guards against a node without the store that loses the sound entries in the
// copy of a peer because of unusable ones.
TEST_F(unusable_rows_test, CopiesOfPeersMayHoldUnusableEntries)
{
  fake_row_store away;
  away.mUnreachable = true;
  loop_timer replies;
  replies.Every(milliseconds(2), [&away] { away.DeliverReplies(); });
  AddServer("i-1", "app");
  unsigned count = 0;
  for (const auto& field : UnusableFields()) {
    PutEntry(fmt::format("odd-{}", ++count), { field });
  }
  PutEntry(std::string("i-1\0x", 5), {});
  StartTwoNodes(away);
  for (int i = 0; i < 4; ++i) {
    const auto exchange = BeginAtSecondNode("/l/x");
    ASSERT_TRUE(RunUntil([&] { return exchange->Ended(); }));
    EXPECT_EQ(exchange->mResponse.mStatus, 200U) << exchange->mBody;
  }
  EXPECT_TRUE(mUnused.mRequests.empty());
}
