#include <fmt/format.h>

#include "GatewayFixture.h"

namespace {

using std::chrono::milliseconds;

/// A node that many peers ask for a copy of its state.
class state_copy_test : public gateway_fixture
{
protected:
  /// Adds entries of servers, about as many as a large site has.
  void AddEntries()
  {
    for (unsigned i = 0; i < kEntries; ++i) {
      mStore.Put(
        { "servers", "", fmt::format("i-{}", i) },
        fmt::format(
          R"({{"service":"app","address":"127.0.0.1:{}","zone":"z1","slots":8,)"
          R"("version":"v1","state":"ready","seq":1,"born":1}})",
          i + 1));
    }
  }

  /// Sends requests for a copy at the same time and returns the sizes of the
  /// responses with a copy.
  std::vector<std::size_t> FetchCopies(unsigned aCount)
  {
    std::vector<std::unique_ptr<client_exchange>> fetches;
    for (unsigned i = 0; i < aCount; ++i) {
      fetches.push_back(std::make_unique<client_exchange>());
      client_exchange& fetch = *fetches.back();
      fetch.mConnection = std::make_unique<http_client_connection>(
        mSettings.mPeer, tcp_liveness{});
      fetch.mConnection->Start(
        "GET /snapshot HTTP/1.1\r\nHost: peer\r\n\r\n", {}, false, fetch);
    }
    std::vector<std::size_t> sizes;
    for (const auto& fetch : fetches) {
      EXPECT_TRUE(RunUntil([&] { return fetch->Ended(); }));
      if (fetch->mResponse.mStatus == 200) {
        sizes.push_back(fetch->mBody.size());
      } else {
        EXPECT_EQ(fetch->mResponse.mStatus, 503U);
      }
    }
    return sizes;
  }

  static constexpr unsigned kEntries = 2000;
  static constexpr double kBytesPerSecond = 1.25e6;
};

} // namespace

// Guards against a host whose link is filled by copies of its state, because
// many nodes have lost the store and ask it.
TEST_F(state_copy_test, CopiesLeaveMostOfTheLinkToRequests)
{
  AddEntries();
  mSettings.mPeer.mPort = FreePort();
  mSettings.mLinkBytesPerSecond = kBytesPerSecond;
  StartNode();
  const auto first = FetchCopies(40);
  ASSERT_FALSE(first.empty());
  std::size_t bytes = 0;
  const time_point end = mTime.Now() + milliseconds(2000);
  while (mTime.Now() < end) {
    for (const std::size_t size : FetchCopies(4)) {
      bytes += size;
    }
    RunFor(milliseconds(20));
  }
  EXPECT_GT(bytes, 0U);
  // Half of what the link carries meanwhile.
  EXPECT_LE(static_cast<double>(first.size() * first.front() + bytes),
            2.0 * kBytesPerSecond / 2);
}
