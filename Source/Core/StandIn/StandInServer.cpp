#include "StandIn/StandInServer.h"

#include <utility>

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kReplyTime{ 5 };
constexpr std::chrono::milliseconds kRestartRetry{ 500 };

} // namespace

stand_in_reply JsonReply(unsigned aStatus, const json& aBody)
{
  return { aStatus,
           aBody.dump(-1, ' ', false, json::error_handler_t::replace) };
}

stand_in_reply ErrorReply(unsigned aStatus,
                          const std::string& aCode,
                          const std::string& aMessage)
{
  return JsonReply(
    aStatus, { { "error", { { "code", aCode }, { "message", aMessage } } } });
}

stand_in_server::stand_in_server()
{
  mServer.Route("/v1/admin/faults",
                [this](const http_server_exchange_ptr& aExchange) {
                  SetFaults(aExchange);
                });
}

void stand_in_server::Serve(const std::string& aPath,
                            call_effect aEffect,
                            handler aHandler)
{
  mServer.Route(aPath,
                [this, aEffect, run = std::move(aHandler)](
                  const http_server_exchange_ptr& aExchange) {
                  if (mFaults.mDelay.count() == 0) {
                    Run(aExchange, aEffect, run);
                    return;
                  }
                  mDeferred.After(mFaults.mDelay,
                                  [this, aExchange, aEffect, run] {
                                    Run(aExchange, aEffect, run);
                                  });
                });
}

void stand_in_server::Route(const std::string& aPath,
                            http_server::handler aHandler)
{
  mServer.Route(aPath, std::move(aHandler));
}

result<void, http_listen_error> stand_in_server::Start(
  const std::string& aAddress)
{
  return mServer.Listen(aAddress);
}

void stand_in_server::Stop()
{
  mDeferred.CancelAll();
  mRestart.Cancel();
  mServer.Close();
}

result<void, http_listen_error> stand_in_server::Restart()
{
  return mServer.Listen(std::string(mServer.Address()));
}

// A call whose caller has gone is still run: the network may lose the caller
// after it delivered the request.
void stand_in_server::Run(const http_server_exchange_ptr& aExchange,
                          call_effect aEffect,
                          const handler& aHandler)
{
  if (mFaults.mDown) {
    aExchange->ReplyError(503, "unavailable", "the service is down");
    return;
  }
  const stand_in_reply reply = aHandler(*aExchange);
  const bool changed = aEffect == call_effect::Changes && reply.mStatus == 200;
  if (changed && mFaults.mLoseReplies > 0) {
    --mFaults.mLoseReplies;
    aExchange->Abort();
    return;
  }
  aExchange->Reply(reply.mStatus, reply.mContentType, reply.mBody);
}

void stand_in_server::Refuse(std::chrono::milliseconds aTime)
{
  Stop();
  mRestart.Once(aTime, [this] { RestartAfterRefusal(); });
}

void stand_in_server::RestartAfterRefusal()
{
  // An outgoing connection may hold the port meanwhile.
  if (!Restart().has_value()) {
    mRestart.Once(kRestartRetry, [this] { RestartAfterRefusal(); });
  }
}

void stand_in_server::SetFaults(const http_server_exchange_ptr& aExchange)
{
  try {
    const json body = json::parse(aExchange->Body());
    stand_in_faults faults = mFaults;
    faults.mDown = body.value("down", faults.mDown);
    faults.mDelay = std::chrono::milliseconds(
      body.value("delay_ms", std::uint32_t(faults.mDelay.count())));
    faults.mLoseReplies = body.value("lose_replies", faults.mLoseReplies);
    const std::chrono::milliseconds refuse(body.value("refuse_ms", 0U));
    mFaults = faults;
    if (refuse.count() > 0) {
      // The reply leaves first, and a server is not closed inside a handler.
      mDeferred.After(kReplyTime, [this, refuse] { Refuse(refuse); });
    }
  } catch (const json::exception& error) {
    aExchange->ReplyError(400, "bad_request", error.what());
    return;
  }
  aExchange->ReplyJson(200,
                       { { "down", mFaults.mDown },
                         { "delay_ms", mFaults.mDelay.count() },
                         { "lose_replies", mFaults.mLoseReplies } });
}
