#include "Config/NodeSettings.h"

#include <gtest/gtest.h>

namespace {

const std::string kSettings = R"({
  // One of eight hosts.
  "name": "entry-1", "zone": "scl-a", "region": "scl",
  "listen": { "http": "10.0.0.1:8080", "peer": "10.0.0.1:9000" },
  "platform": {
    "table": "http://10.1.0.1:80", "objects": "http://10.1.0.2:80",
    "hosts": "http://10.1.0.3:80", "weights": "http://10.1.0.4:80"
  },
  "peer_keys": [ { "id": "k1", "secret": "0123456789abcdef" } ]
})";

std::string Replaced(const std::string& aFrom, const std::string& aTo)
{
  std::string text = kSettings;
  text.replace(text.find(aFrom), aFrom.size(), aTo);
  return text;
}

std::string Errors(const std::string& aText)
{
  const auto settings = ParseNodeSettings(aText, "node.json");
  return settings.has_error() ? FormatConfigErrors(settings.error()) : "";
}

} // namespace

// Guards against a default that differs from the descriptor table.
TEST(NodeSettings, FillsDefaults)
{
  const auto settings = ParseNodeSettings(kSettings, "node.json");
  ASSERT_TRUE(settings.has_value()) << Errors(kSettings);
  EXPECT_EQ(settings.value().mListen.mAdvertisedHttp.mPort, 8080);
  EXPECT_EQ(settings.value().mLimits.mHeaderBytes, 16384U);
  EXPECT_EQ(settings.value().mTiming.mConfigPollInterval,
            std::chrono::seconds(2));
  EXPECT_DOUBLE_EQ(settings.value().mTrace.mSampling, 0.01);
  EXPECT_EQ(settings.value(),
            ParseNodeSettings(kSettings, "other.json").value());
}

// Guards against a reader that stops at the first error, so that an operator
// has to correct a file one error at a time.
TEST(NodeSettings, ReportsAllFaultsWithLineAndNearestKey)
{
  std::string text = Replaced("\"zone\": \"scl-a\"", "\"zome\": \"scl-a\"");
  text.replace(text.find("10.0.0.1:9000"), 13, "localhost:9000");
  text.insert(text.rfind('}'),
              ",\n\"limits\": { \"open_streams\": 0,\n"
              "\"body_bytes\": \"4 MB\" },\n\"name\": \"entry-2\"\n");
  EXPECT_EQ(Errors(text),
            "node.json:1: missing key \"zone\"\n"
            "node.json:3: /zome: unknown key \"zome\", did you mean \"zone\"?\n"
            "node.json:4: /listen/peer: must be IP:port, not a host name\n"
            "node.json:11: /limits/open_streams: 0 is outside 1 to 100000\n"
            "node.json:12: /limits/body_bytes: must be an integer\n"
            "node.json:13: /name: duplicate key \"name\"\n");
}

// Guards against nodes that advertise an address nobody can connect to, and
// against a key rotation in which both keys have the same identifier.
TEST(NodeSettings, ChecksWildcardsAndRepeatedKeyIds)
{
  EXPECT_NE(Errors(Replaced("10.0.0.1:8080", "0.0.0.0:8080")).find("wildcard"),
            std::string::npos);
  EXPECT_EQ(Errors(Replaced("10.0.0.1:8080\"",
                            "0.0.0.0:8080\", "
                            "\"advertised_http\": \"10.0.0.1:80\"")),
            "");
  const std::string key =
    "{ \"id\": \"k1\", \"secret\": \"0123456789abcdef\" }";
  EXPECT_NE(Errors(Replaced(key, key + "," + key)).find("used twice"),
            std::string::npos);
  EXPECT_NE(Errors(Replaced(key, key + "," + key + "," + key))
              .find("3 entries are outside 1 to 2"),
            std::string::npos);
}

// Guards against a secret being printed in an error message.
TEST(NodeSettings, DoesNotPrintSecrets)
{
  const std::string errors = Errors(Replaced("0123456789abcdef", "hunter2"));
  EXPECT_NE(errors.find("length 7"), std::string::npos);
  EXPECT_EQ(errors.find("hunter2"), std::string::npos);
}

// Guards against addresses that are read differently than they were written,
// and against host names and bad ports that are accepted.
TEST(SocketAddress, RoundTrips)
{
  for (const char* text : { "10.0.0.1:1", "[::1]:65535" }) {
    const auto address = ParseSocketAddress(text);
    ASSERT_TRUE(address.has_value()) << text;
    EXPECT_EQ(FormatSocketAddress(*address), text);
  }
  for (const char* text : { "10.0.0.1",
                            "::1:80",
                            "10.0.0.1:0",
                            "a:80",
                            "10.0.0.1:65536",
                            "[10.0.0.1]:80" }) {
    EXPECT_FALSE(ParseSocketAddress(text).has_value()) << text;
  }
}
