#include <optional>

#include <fmt/format.h>

#include "FleetFixture.h"

namespace {

/// What a caller of a plain service got.
struct service_answer
{
  unsigned mStatus = 0;
  std::string mRun;
};

class service_path : public fleet_fixture
{
protected:
  service_answer Book(std::size_t aNode,
                      const std::string& aKey,
                      const std::string& aBody = "{\"part\":1}")
  {
    http_request request;
    request.mMethod = "POST";
    request.mUrl = fmt::format("http://{}/v1/services/orders/book",
                               mFleet->Node(aNode).HttpAddress());
    request.mBody = aBody;
    request.mTimeout = std::chrono::seconds(20);
    request.mHeaders = { { "Authorization",
                           fmt::format("Bearer {}", kClinicKey) },
                         { "Idempotency-Key", aKey } };
    std::optional<service_answer> answer;
    http_request_owner owner;
    mClient.Send(request, owner, [&answer](const auto& aReply) {
      answer = service_answer{};
      if (aReply.has_value()) {
        answer->mStatus = aReply.value().mStatus;
        const auto body =
          nlohmann::json::parse(aReply.value().mBody, nullptr, false);
        if (body.is_object() && body.contains("error")) {
          answer->mRun = body.at("error").value("run", "");
        }
      }
    });
    EXPECT_TRUE(Wait([&answer] { return answer.has_value(); }));
    return answer.value_or(service_answer{});
  }

  std::uint32_t Runs(const std::string& aKey)
  {
    return mFleet->Cluster().ServiceRuns(aKey);
  }
};

} // namespace

// Guards against an order that is placed once per node that its caller tries.
TEST_F(service_path, RunsACallOnceOverAllRetries)
{
  StartFleet();
  EXPECT_EQ(Book(0, "order-1").mStatus, 200U);
  EXPECT_EQ(Book(1, "order-1").mStatus, 200U);
  EXPECT_EQ(Book(2, "order-1").mStatus, 200U);
  EXPECT_EQ(Runs("order-1"), 1U);
}

// Guards against a second run, or a wrong `not_run`, when the answer of the
// service got lost after it carried the call out.
TEST_F(service_path, TellsUnknownWhenTheAnswerIsLost)
{
  StartFleet();
  for (std::size_t i = 0; i < mFleet->Cluster().Services(); ++i) {
    mFleet->Cluster().Service(i).Server().Faults().mLoseReplies = 1;
  }
  const service_answer first = Book(0, "order-2");
  EXPECT_EQ(first.mRun, "unknown");
  const service_answer retry = Book(1, "order-2");
  EXPECT_EQ(retry.mRun, "unknown");
  EXPECT_EQ(Runs("order-2"), 1U);
}

// Guards against a call that goes out without its intent being recorded.
TEST_F(service_path, SendsNothingWhileTheStoreIsDown)
{
  StartFleet();
  mFleet->Cluster().Table().Faults().mDown = true;
  EXPECT_NE(Book(0, "order-3").mStatus, 200U);
  EXPECT_EQ(Runs("order-3"), 0U);
  mFleet->Cluster().Table().Faults().mDown = false;
  EXPECT_EQ(Book(1, "order-3").mStatus, 200U);
  EXPECT_EQ(Runs("order-3"), 1U);
}

// Guards against one key that stands for two different orders.
TEST_F(service_path, RefusesAKeyWithAnotherContent)
{
  StartFleet();
  EXPECT_EQ(Book(0, "order-4").mStatus, 200U);
  EXPECT_EQ(Book(1, "order-4", "{\"part\":2}").mStatus, 400U);
  EXPECT_EQ(Runs("order-4"), 1U);
}
