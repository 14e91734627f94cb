#include "GatewayFixture.h"

namespace {

using std::chrono::milliseconds;

/// Servers that name a rate limit in each response.
class rate_limited_server_test : public gateway_fixture
{
protected:
  scripted_server& AddLimitedServer(const std::string& aId,
                                    const std::string& aService,
                                    const std::string& aLimit)
  {
    scripted_server& server = AddServer(aId, aService);
    server.mScript = [aLimit](http_server_connection& aConnection,
                              const http_server_request& aRequest) {
      http_server_response response;
      scripted_server::Sign(response, aRequest);
      response.mHeaders.emplace_back("Server-Limit", aLimit);
      aConnection.Respond(response, "done");
    };
    return server;
  }
};

} // namespace

// Guards against LIMIT: a server that names 2 requests a second got all of 60
// in 4 s. It may get one and a half times the limit, and 5 more.
TEST_F(rate_limited_server_test, GetsNoMoreThanItsLimitAllows)
{
  constexpr unsigned kRequests = 60;
  constexpr std::size_t kAllowed = 17;
  scripted_server& server = AddLimitedServer("i-1", "app", "2.0");
  StartNode();
  unsigned refused = 0;
  for (unsigned i = 0; i < kRequests; ++i) {
    const auto exchange = Call("POST", "/o/x");
    refused += exchange->mResponse.mStatus == 503U ? 1 : 0;
    RunFor(milliseconds(60));
  }
  EXPECT_LE(server.mRequests.size(), kAllowed);
  EXPECT_EQ(server.mRequests.size() + refused, kRequests);
}

// Guards against refusals while a server without a limit has room.
TEST_F(rate_limited_server_test, OtherServersGetTheRequestsBeyondTheLimit)
{
  constexpr unsigned kRequests = 20;
  AddLimitedServer("i-1", "app", "0.5");
  AddServer("i-2", "app");
  StartNode();
  for (unsigned i = 0; i < kRequests; ++i) {
    EXPECT_EQ(Call("POST", "/o/x")->mResponse.mStatus, 200U);
  }
  EXPECT_LE(mServers[0]->mRequests.size(), 5U);
}
