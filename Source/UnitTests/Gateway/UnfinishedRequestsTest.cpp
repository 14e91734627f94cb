#include <gtest/gtest.h>

#include "Gateway/GatewayTypes.h"
#include "Gateway/HeldBytes.h"
#include "Gateway/UnfinishedRequests.h"
#include "Gateway/UpstreamRegistry.h"

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSmallHost = 88'000'000;
constexpr time_point kNow{ std::chrono::hours(1) };

} // namespace

// Those that began first make room, and no more of them than are needed.
TEST(unfinished_requests_test, OldestMakeRoom)
{
  const std::vector<unfinished_request> requests = {
    { 1, 1000, kNow - milliseconds(3000) },
    { 2, 1000, kNow - milliseconds(5000) },
    { 3, 1000, kNow - milliseconds(4000) },
  };
  EXPECT_EQ(ChooseOverdueRequests(requests, 1500, kNow),
            (std::vector<std::uintptr_t>{ 2, 3 }));
  EXPECT_TRUE(ChooseOverdueRequests(requests, 0, kNow).empty());
}

// A request that has just begun is about to be complete.
TEST(unfinished_requests_test, RequestsThatHaveJustBegunAreSpared)
{
  const std::vector<unfinished_request> requests = {
    { 1, 1000, kNow - kUsualArrivalTime + milliseconds(1) },
    { 2, 1000, kNow - kUsualArrivalTime },
  };
  EXPECT_EQ(ChooseOverdueRequests(requests, 5000, kNow),
            std::vector<std::uintptr_t>{ 2 });
}

// Small requests that are never finished do not fill the node: smaller ones
// still have room.
TEST(held_bytes_test, SmallerRequestsHaveRoomBesideSmallOnes)
{
  constexpr std::size_t kBody = 65'000;
  held_bytes held(kSmallHost);
  while (held.MayHold(0, kBody)) {
    held.Add(held_kind::ArrivingRequests, kBody);
  }
  EXPECT_GT(held.Use(), 0.85);
  EXPECT_TRUE(held.MayHold(0, kBody / 2));
  for (unsigned i = 0; i < 1000; ++i) {
    ASSERT_TRUE(held.MayHold(0, 1000)) << i;
    held.Add(held_kind::RequestBodies, 1000);
  }
}

// A host whose bound is less than a few requests serves one of them.
TEST(held_bytes_test, SmallestHostsServeARequest)
{
  const held_bytes held(1'000'000);
  EXPECT_TRUE(held.MayHold(0, 65'000));
  EXPECT_TRUE(held.MayHold(50'000, 15'000));
  EXPECT_TRUE(held.MayHold(0, 200'000));
}

// The memory of a request is more than its bytes on the wire.
TEST(request_bytes_test, CountsFieldsAndSegments)
{
  gateway_request request;
  const std::size_t empty = RequestBytes(request);
  for (unsigned i = 0; i < 1000; ++i) {
    request.mForwarded.emplace_back("a", "");
  }
  EXPECT_GE(RequestBytes(request),
            empty + 1000 * sizeof(http_headers::value_type));
  const std::size_t withFields = RequestBytes(request);
  request.mPrompt.resize(1000);
  EXPECT_GE(RequestBytes(request), withFields + 1000 * sizeof(prompt_segment));
  const std::size_t withSegments = RequestBytes(request);
  request.mBody.assign(100'000, 'x');
  EXPECT_EQ(RequestBytes(request), withSegments + 100'000);
}
