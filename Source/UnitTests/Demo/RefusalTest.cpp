#include "FleetFixture.h"

namespace {

struct refusal
{
  unsigned mStatus = 0;
  std::string mCode;
  std::string mRun;
};

class refusal_test : public fleet_fixture
{
protected:
  refusal Post(const std::string& aBody, const std::string& aKey = kClinicKey)
  {
    http_request request;
    request.mMethod = "POST";
    request.mUrl =
      "http://" + mFleet->Node(0).HttpAddress() + "/v1/chat/completions";
    request.mBody = aBody;
    request.mHeaders = { { "Authorization", "Bearer " + aKey } };
    refusal received;
    bool done = false;
    http_request_owner owner;
    mClient.Send(request, owner, [&](const auto& aReply) {
      done = true;
      if (aReply.has_value()) {
        received = Read(aReply.value());
      }
    });
    EXPECT_TRUE(Wait([&done] { return done; }));
    return received;
  }

  static refusal Read(const http_reply& aReply)
  {
    const auto body = nlohmann::json::parse(aReply.mBody, nullptr, false);
    if (!body.is_object() || !body.contains("error")) {
      return { aReply.mStatus, "", "" };
    }
    return { aReply.mStatus,
             body.at("error").value("code", ""),
             body.at("error").value("run", "") };
  }
};

constexpr const char* kGood =
  R"({"model":"small","messages":[{"role":"user","content":"hi"}]})";

} // namespace

// Guards against refusals that do not say that nothing ran, and against bad
// input that stops the node.
TEST_F(refusal_test, TellsThatNothingRan)
{
  StartFleet();
  const refusal badKey = Post(kGood, "wrong");
  EXPECT_EQ(badKey.mStatus, 401U);
  EXPECT_EQ(badKey.mCode, "invalid_key");
  EXPECT_EQ(badKey.mRun, "not_run");

  const refusal malformed = Post("{\"model\":");
  EXPECT_EQ(malformed.mStatus, 400U);
  EXPECT_EQ(malformed.mRun, "not_run");

  const refusal nested = Post(std::string(50000, '['));
  EXPECT_EQ(nested.mStatus, 400U);

  const refusal model =
    Post(R"({"model":"none","messages":[{"role":"user","content":"hi"}]})");
  EXPECT_EQ(model.mStatus, 404U);
  EXPECT_EQ(model.mCode, "unknown_model");

  const refusal large = Post(std::string(5U << 20U, ' '));
  EXPECT_EQ(large.mStatus, 413U);

  EXPECT_EQ(Post(kGood).mStatus, 200U);
}

// Guards against whole responses being charged differently from streams.
TEST_F(refusal_test, ChargesWholeResponses)
{
  StartFleet();
  EXPECT_EQ(Post(kGood).mStatus, 200U);
  StopFleet();
  EXPECT_GT(mFleet->Spent("clinic"), 0);
  EXPECT_TRUE(mFleet->Reconciled("clinic"));
}
