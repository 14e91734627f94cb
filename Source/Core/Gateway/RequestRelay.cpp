#include "Gateway/RequestRelay.h"

#include <algorithm>
#include <utility>

#include "Common/Log.h"
#include "Gateway/Refusal.h"
#include "Net/HttpStatus.h"

namespace {

using std::chrono::milliseconds;

// Nodes are a few ms away; a slower connect means that the node is down or its
// link full.
constexpr milliseconds kConnectTimeout(300);
constexpr tcp_liveness kPeerLiveness{ milliseconds(3000) };
// Time after the deadline at which the request is ended if the other node has
// not done so.
constexpr milliseconds kDeadlineGracePeriod(150);
constexpr milliseconds kRefusalRetryDelay(200);
constexpr unsigned kClientClosedRequest = 499;

} // namespace

request_relay::request_relay(gateway_context& aContext,
                             http_server_connection& aClient,
                             relay_request aRequest,
                             std::vector<tcp_address> aPeers)
  : mContext(aContext)
  , mClient(&aClient)
  , mRequest(std::move(aRequest))
  , mHeldShare(mContext.mHeld,
               held_kind::RequestBodies,
               RequestBytes(mRequest.mRequest))
  , mPeers(std::move(aPeers))
{
  TryNextPeer();
}

request_relay::~request_relay()
{
  if (mConnection) {
    mConnection->Reset();
  }
}

void request_relay::TryNextPeer()
{
  const time_point now = mContext.mTime.Now();
  if (mConnection) {
    mConnection->Reset();
    mContext.mDiscardedConnections.push_back(std::move(mConnection));
  }
  if (mNextPeer >= mPeers.size()) {
    EndWithoutResponse("peers_not_reached");
    return;
  }
  const tcp_address& peer = mPeers[mNextPeer++];
  Log(log_level::Info,
      "request_relayed",
      { Field("id", mRequest.mRequest.mId),
        Field("peer", FormatTcpAddress(peer)),
        Field("waited_ms",
              std::chrono::duration_cast<milliseconds>(now - mRequest.mArrived)
                .count()) });
  mConnectDeadline = now + kConnectTimeout;
  mConnection = std::make_unique<http_client_connection>(peer, kPeerLiveness);
  if (mConnection->Closed()) {
    EndWithoutResponse("peers_not_reached");
    return;
  }
  mContext.mLinkQueue.Add(mRequest.mRequest.mBody.size(), now);
  mConnection->Start(
    mContext.mCodec.WriteRelay(
      mRequest.mRequest,
      std::chrono::duration_cast<milliseconds>(mRequest.mDeadline - now)),
    mRequest.mRequest.mBody,
    mRequest.mRequest.mMethod == "HEAD",
    *this);
}

void request_relay::Advance(time_point aNow)
{
  if (mFinished) {
    return;
  }
  if (aNow >= mRequest.mDeadline + kDeadlineGracePeriod) {
    EndWithoutResponse("timeout");
  } else if (!mConnection->Connected() && aNow >= mConnectDeadline) {
    TryNextPeer();
  } else if (mReadingPaused &&
             mClient->PendingBytes() <= mContext.mHeld.StreamLimit() / 2) {
    OnClientDrained();
  }
}

bool request_relay::OnResponse(http_client_connection&,
                               http_client_response aResponse)
{
  mStatus = aResponse.mStatus;
  http_server_response head;
  head.mStatus = aResponse.mStatus;
  head.mFraming = aResponse.mFraming;
  for (auto& [name, value] : aResponse.mHeaders) {
    if (!IsHopByHopHeader(name)) {
      head.mHeaders.emplace_back(std::move(name), std::move(value));
    }
  }
  // The client is to find a node that reaches servers.
  mClient->SetCloseAfterResponse();
  mClient->StartResponse(head);
  return true;
}

void request_relay::OnBody(std::string_view aBytes)
{
  const std::size_t before = mClient->PendingBytes();
  mClient->WriteBody(aBytes);
  const std::size_t after = mClient->PendingBytes();
  mContext.mHeld.Add(held_kind::ToClients, after - std::min(before, after));
  if (mClient->PendingBytes() > mContext.mHeld.StreamLimit() &&
      !mReadingPaused) {
    mReadingPaused = true;
    mConnection->SetReading(false);
  }
}

void request_relay::OnClientDrained()
{
  if (std::exchange(mReadingPaused, false) && mConnection) {
    mConnection->SetReading(true);
  }
}

void request_relay::OnComplete(bool)
{
  // FinishBody may close the connection of the client.
  http_server_connection* client = std::exchange(mClient, nullptr);
  Finish(mStatus, "relayed");
  client->FinishBody();
}

void request_relay::OnExchangeFailed(exchange_failure aFailure)
{
  if (aFailure == exchange_failure::NotSent) {
    TryNextPeer();
    return;
  }
  EndWithoutResponse("relay_failed");
}

void request_relay::EndWithoutResponse(const char* aReason)
{
  http_server_connection* client = std::exchange(mClient, nullptr);
  const bool sent = mConnection && mConnection->Connected();
  if (mStatus != 0) {
    // A response that has begun can only be broken off.
    Finish(http_status::kBadGateway, aReason);
    client->Abort();
    return;
  }
  const auto response =
    sent ? RefusalHead(http_status::kGatewayTimeout, std::nullopt)
         : RefusalHead(http_status::kServiceUnavailable, kRefusalRetryDelay);
  Finish(response.mStatus, aReason);
  client->SetCloseAfterResponse();
  client->Respond(response, RefusalBody(aReason));
}

void request_relay::Cancel()
{
  if (mFinished) {
    return;
  }
  mClient = nullptr;
  Finish(kClientClosedRequest, "client_gone");
}

void request_relay::EndSlowClient()
{
  http_server_connection* client = std::exchange(mClient, nullptr);
  Finish(kClientClosedRequest, "slow_client");
  client->Abort();
}

void request_relay::EndAtStop()
{
  if (!mFinished) {
    LogCutByStop();
    EndWithoutResponse("node_stopped");
  }
}

void request_relay::RecordProgress(time_point aNow)
{
  if (!mFinished) {
    mContext.mDurations.AddExpected(
      mRequest.mRoute,
      std::chrono::ceil<milliseconds>(aNow - mRequest.mArrived));
  }
}

void request_relay::LogCutByStop() const
{
  if (!mContext.mStop) {
    return;
  }
  const time_point now = mContext.mTime.Now();
  const time_point beganAt = mContext.mStop->mBeganAt;
  Log(log_level::Warning,
      "request_cut_by_stop",
      { Field("id", mRequest.mRequest.mId),
        Field("relayed", true),
        Field("arrived_ms", MsBetween(beganAt, mRequest.mArrived)),
        Field("cut_ms", MsBetween(beganAt, now)),
        Field("limit_in_ms", MsBetween(now, mRequest.mDeadline)) });
}

void request_relay::Finish(unsigned aStatus, const char* aReason)
{
  mFinished = true;
  if (mConnection) {
    mConnection->Reset();
    mContext.mDiscardedConnections.push_back(std::move(mConnection));
  }
  const time_point now = mContext.mTime.Now();
  mContext.mMetrics.OnAnswer(mRequest.mRoute, aStatus, aReason);
  Log(log_level::Info,
      "request_done",
      { Field("id", mRequest.mRequest.mId),
        Field("route", mRequest.mRoute),
        Field("status", aStatus),
        Field("reason", aReason),
        Field("peers", mNextPeer),
        Field("took_ms",
              std::chrono::duration_cast<milliseconds>(now - mRequest.mArrived)
                .count()) });
}
