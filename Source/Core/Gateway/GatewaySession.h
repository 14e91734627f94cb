#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Admission/AdmissionControl.h"
#include "Gateway/Admission.h"
#include "Gateway/CrashExchange.h"
#include "Gateway/EventJoiner.h"
#include "Gateway/FleetView.h"
#include "Gateway/GatewayCodec.h"
#include "Gateway/GatewayMetrics.h"
#include "Gateway/GatewaySettings.h"
#include "Gateway/HeldBytes.h"
#include "Gateway/HomeRegions.h"
#include "Gateway/LinkQueue.h"
#include "Gateway/RequestDurations.h"
#include "Gateway/RouteTable.h"
#include "Gateway/ServerReachability.h"
#include "Gateway/StateFreshness.h"
#include "Gateway/StopSchedule.h"
#include "Gateway/StreamOrigins.h"
#include "Gateway/UnansweredRequests.h"
#include "Gateway/UpstreamPool.h"

/// State of the node that its requests share.
struct gateway_context
{
  const gateway_settings& mSettings;
  const gateway_codec& mCodec;
  const time_source& mTime;
  upstream_registry& mUpstreamRegistry;
  upstream_pool& mPool;
  token_allowance& mTokenAllowance;
  retry_window& mRetries;
  crash_history& mCrashes;
  segment_crash_history& mSegmentCrashes;
  crash_exchange& mCrashExchange;
  unanswered_requests& mUnanswered;
  server_reachability& mReachability;
  link_queue& mLinkQueue;
  request_durations& mDurations;
  fleet_view& mFleet;
  const home_regions& mHomes;
  stream_origins& mStreamOrigins;
  admission_control& mAdmission;
  const row_store& mStore;
  held_bytes& mHeld;
  gateway_metrics& mMetrics;
  /// Null until a configuration was read.
  std::shared_ptr<const route_table> mRoutes{};
  /// When the configuration and the server entries were current, at the
  /// earliest.
  time_point mConfigCurrentAt{};
  time_point mServersCurrentAt{};
  /// Whether the node may act on its configuration and server entries.
  state_verdict mState = state_verdict::Current;
  /// Latest time at which requests that are sent now may leave the host, so
  /// that they reach no server that has left.
  time_point mLatestLeavesAt{};
  /// Whether a newer configuration may be in force, because the store was out
  /// of contact for too long.
  bool mConfigMayBeStale = true;
  /// Whether the node reaches no server and other nodes do, so that it passes
  /// its requests on.
  bool mRelaying = false;
  /// Set while the node stops.
  std::optional<stop_schedule> mStop{};
  /// Connections that were dropped inside one of their own events and must be
  /// destroyed later.
  std::vector<std::unique_ptr<http_client_connection>> mDiscardedConnections{};
};

/// One request from its arrival to its final answer.
class gateway_session final : public http_client_exchange_observer
{
public:
  gateway_session(gateway_context& aContext,
                  http_server_connection& aClient,
                  gateway_request aRequest);
  ~gateway_session() override;

  /// Continues the request in its current stage: reserves tokens, chooses a
  /// server, or checks the timeouts of a sent request.
  void Advance(time_point aNow);
  /// Ends the request because the client closed its connection.
  void Cancel();
  /// Ends the request because the node has to end.
  void EndAtStop();
  void OnClientDrained();
  /// Ends the request because its client does not read.
  void EndSlowClient();

  /// Records how long the request, if it was sent, is expected to take.
  void RecordProgress(time_point aNow);

  const std::string& RequestId() const { return mRequest.mId; }
  std::string DescribeExchange() const override { return mRequest.mId; }
  /// Bytes of the request that its server has not taken.
  std::size_t BytesToServer() const
  {
    return mConnection ? mConnection->PendingBytes() : 0;
  }
  /// Bytes of the response that are held until it, or a part of it, is
  /// complete.
  std::size_t BufferedBytes() const
  {
    return mBuffered.size() + mEvents.PartialBytes() +
           (mConnection ? mConnection->InputBytes() : 0);
  }
  /// Whether the server is not read because the client is slower.
  bool ReadingPaused() const { return mReadingPaused; }
  bool Finished() const { return mStage == stage::Finished; }
  /// Whether the request is to be passed on to another node.
  bool NeedsRelay() const { return mStage == stage::NeedRelay; }
  /// Hands the request over; the session is finished then.
  relay_request TakeForRelay();
  bool WaitsForServer() const { return mStage == stage::NeedServer; }
  /// Sort key of waiting requests: priority, then arrival; lowest first.
  std::pair<int, time_point> QueueOrder() const
  {
    return { mPriority, mArrived };
  }

private:
  /// Retry-After of a refusal whose cause passes within a few hundred ms.
  static constexpr std::chrono::milliseconds kRefusalRetryDelay{ 200 };

  enum class stage : std::uint8_t
  {
    /// What the node knows of the store is too old to act on.
    NeedState,
    /// The software version at which the resumed stream began is not known.
    NeedOrigin,
    NeedTokens,
    NeedServer,
    NeedRelay,
    Sent,
    Finished,
  };

  bool OnResponse(http_client_connection& aConnection,
                  http_client_response aResponse) override;
  void OnBody(std::string_view aBytes) override;
  void OnComplete(bool aReusable) override;
  void OnExchangeFailed(exchange_failure aFailure) override;

  void Begin();
  /// Whether the client resumes a stream.
  bool IsResumption() const;
  void AdvanceState(time_point aNow);
  /// Whether the node may send the request now. Ends it if recent state does
  /// not come in time.
  bool HasRecentState(time_point aNow);
  void AdvanceOrigin(time_point aNow);
  /// Keeps the rest of the stream at the software that began it.
  void PinStream(time_point aNow);
  void AdvanceTokens(time_point aNow);
  void AdvanceServer(time_point aNow);
  /// Whether the node does not stop, or the request is expected to be answered
  /// before the node ends.
  bool FitsBeforeStop(time_point aNow) const;
  /// Whether another node takes requests and may run this one.
  bool IsOtherNodeReady(time_point aNow) const;
  /// Ends the request without a further send because the node stops.
  void EndUnsentInStop(time_point aNow);
  /// Closes the client's connection after the response, so that the client
  /// reconnects and may find a host that can serve it.
  void SendClientElsewhere();
  /// Whether another node can take the request over. It has not run, or may run
  /// again, and nothing of a response was sent.
  bool CanBeRelayed() const;
  /// Chooses a server; keeps a request with crash reports away from others that
  /// have some.
  std::optional<placement> ChooseServer(time_point aNow) const;
  /// Ends the request and returns true if it must not be sent, because servers
  /// ended under it.
  bool EndIfSuspect(time_point aNow);
  /// Ends the request without waiting for its server any longer. `aReason` is
  /// given if the server got it, `aUnsentReason` if not.
  void EndWithoutServer(const char* aReason, const char* aUnsentReason);
  /// Ends the request instead of sending it, possibly for a further time.
  /// Without `aRetryAfter`, the client is not told to come back.
  void EndUnsent(const char* aReason,
                 std::optional<std::chrono::milliseconds> aRetryAfter);
  /// Cost by which overloaded services share their capacity: prompt tokens +
  /// 10 x output tokens; 1 without tokens.
  double AdmissionCost() const;
  /// Ends the request and returns true if its service is overloaded and does
  /// not admit it. Resumed and repeated requests are admitted.
  bool EndIfShed(const admission_query& aQuery, time_point aNow);
  /// Records whether the request finds no place, or waits for too long.
  void RecordNoRoom(const std::optional<placement>& aChosen,
                    admission_query aQuery,
                    time_point aNow);
  /// Time from arrival to the end of a stream if its events go on as they came;
  /// the time that has passed if their rate is not known.
  time_point::duration ExpectedDuration(time_point aNow) const;
  /// When the request is ended if its server has not answered.
  time_point LatestEnd() const;
  void AdvanceSent(time_point aNow);
  placement_query Query() const;
  admission_query AdmissionQuery() const;
  void Send(const placement& aPlacement, time_point aNow);
  /// When the bytes of the request would leave the host if they were sent now.
  time_point LeavesAt(time_point aNow) const;
  void ForwardEvents(std::string_view aBytes);
  /// Sends a part of the body to the client, and stops reading from the server
  /// while the client is slower.
  void WriteToClient(std::string_view aBytes);
  /// Stops reading from the server while the client is slower.
  void PauseForClient();
  /// Reads from the server again if the client has taken enough.
  void ContinueForClient();
  /// Records the time between events of the server.
  void RecordEvents();
  void RecordFirstByte();
  void ReleaseUpstream(bool aReusable);
  /// This node's share of the idle connections that the server accepts.
  std::size_t MaxIdleConnections() const;
  void DiscardConnection();
  bool IsRetryable() const;
  bool MayRetry(const char* aReason);
  void Retry();
  void FailAttempt(exchange_failure aFailure);
  /// Records whether the server is brittle, and that it had no room.
  void RecordRoom(time_point aNow);
  /// Records that the server said in its response that it leaves.
  void RecordLeaving(time_point aNow);
  /// Records the rate limit that the server's response names or lacks.
  void RecordRateLimit(time_point aNow);
  /// Records for how long the server is still cold.
  void RecordCold(time_point aNow);
  /// Logs and counts a send to a cold server.
  void LogColdSend(time_point aNow) const;
  /// Logs a send while the node stops.
  void LogSendInStop(time_point aNow) const;
  /// Logs that the end of the node breaks the request off.
  void LogCutByStop() const;
  /// Logs that a stream goes on at a server.
  void LogResumption() const;
  /// Logs and counts a send to a server that named a rate limit.
  void LogLimitedSend(time_point aNow) const;
  /// Logs that a server gave no complete response. `aCounted` tells whether it
  /// counts as a crash under this request.
  void LogBreak(std::string_view aFailure, bool aReused, bool aCounted) const;
  /// Stops waiting for a server that has the request.
  void AbandonUpstream(const char* aReason);
  void DeliverBuffered();
  /// Whether the server ended the stream on purpose, as far as its framing and
  /// the number of events show.
  bool StreamComplete() const;
  /// Whether a success without length ended behind its head, which does not
  /// show that its body is empty.
  bool IsUnprovedEmptyBody() const;
  std::int64_t TokensPerEvent() const;
  http_server_response ClientHead(body_framing aFraming) const;

  void Refuse(const char* aReason, std::chrono::milliseconds aRetryAfter);
  void Fail(unsigned aStatus, const char* aReason);
  void Answer(unsigned aStatus,
              const char* aReason,
              std::optional<std::chrono::milliseconds> aRetryAfter);
  void AbortClient(const char* aReason);
  void Finish(unsigned aStatus, const char* aReason);
  /// Ends the token reservation and returns the number of tokens that the
  /// request consumed.
  std::int64_t FinishReservation();

  gateway_context& mContext;
  http_server_connection* mClient;
  gateway_request mRequest;
  held_share mHeldShare;
  std::shared_ptr<const route_table> mRoutes;
  const gateway_route* mRoute = nullptr;
  const gateway_account* mAccount = nullptr;
  service_id mService;
  /// Regions and zones in which the request may run; any if absent.
  allowed_regions mRegions;
  std::optional<std::set<zone_id>> mAllowedZones;
  /// Identity in the crash histories.
  request_fingerprint mFingerprint;
  stage mStage = stage::NeedTokens;
  /// Until when the request waits for recent state, while the node has none.
  std::optional<time_point> mStateWaitUntil;
  int mPriority = 0;
  time_point mArrived;
  /// Latest time for the final answer by the timeout of the route.
  time_point mRouteDeadline;
  /// Latest time for the final answer that is useful to the client; at or
  /// before `mRouteDeadline`.
  time_point mDeadline;
  std::int64_t mReserved = 0;
  bool mMayHaveRun = false;
  /// Whether the request was admitted under overload.
  bool mAdmitted = false;

  placement mPlacement;
  /// Run of the server that the request was sent to. The server may have
  /// restarted by the time the connection breaks.
  server_run mServerRun;
  software_version mSoftware;
  /// Software at which the stream began and must go on.
  std::optional<software_key> mPinnedSoftware;
  upstream_work mWork;
  std::unique_ptr<http_client_connection> mConnection;
  unanswered_requests::ticket mUnansweredTicket = 0;
  time_point mSentAt;
  /// When the bytes of the request have left the host, by estimate.
  time_point mLeavesAt;
  time_point mLastEventAt;
  /// Last byte of the response of the current server; nothing before it.
  std::optional<time_point> mLastByteAt;
  /// First event of the current server; nothing before it.
  std::optional<time_point> mFirstEventAt;
  /// Whether the current server has answered for long enough to clear the
  /// prompt of crashes.
  bool mAnswering = false;
  std::vector<upstream_id> mTriedUpstreams;
  segment_verdict mSegmentVerdict = segment_verdict::Send;
  unsigned mAttempts = 0;
  unsigned mConnectFailures = 0;

  http_client_response mResponse;
  /// Framing of the current server's response; `mResponse` keeps that of the
  /// first one.
  body_framing mFraming = body_framing::Length;
  upstream_answer mAnswer;
  bool mHasResponse = false;
  bool mEventStream = false;
  bool mResponseStarted = false;
  bool mFirstByteSeen = false;
  bool mReadingPaused = false;
  std::size_t mRefusalBytes = 0;
  event_joiner mEvents;
  std::string mBuffered;
};
