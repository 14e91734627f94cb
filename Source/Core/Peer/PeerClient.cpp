#include "Peer/PeerClient.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "Common/EventLoop.h"
#include "Peer/PeerConnection.h"
#include "Peer/PeerLoop.h"

namespace {

using steady = std::chrono::steady_clock;

/// Interval of checking call and idle deadlines while there are any.
constexpr std::chrono::milliseconds kDeadlineCheckInterval{ 20 };

} // namespace

/// State of a client: its calls and peers. Reports of connections are recorded
/// and processed later by an idle source, since a connection must not be
/// destroyed from within its own events.
class peer_client_state : public std::enable_shared_from_this<peer_client_state>
{
public:
  using body_callback = std::function<void(peer_call_result)>;

  peer_client_state(peer_client_settings aSettings, peer_key_ring aKeys)
    : mSettings(std::move(aSettings))
    , mKeys(std::move(aKeys))
  {
  }

  void Call(const peer_target& aTarget,
            peer_method aMethod,
            std::string aBody,
            body_callback aReply);
  /// Ends all calls and connections without calling back.
  void Close();
  void SetKeys(peer_key_ring aKeys) { mKeys = std::move(aKeys); }
  peer_client_counters& Counters() { return mCounters; }

private:
  struct call
  {
    node_id mPeer;
    steady::time_point mDeadline;
    /// Replies received on the connection when the call was sent.
    std::uint64_t mRepliesBefore = 0;
    body_callback mReply;
  };
  struct peer
  {
    std::string mAddress;
    std::unique_ptr<peer_connection> mConnection;
    /// Distinguishes reports of the current connection from those of earlier
    /// ones.
    std::uint64_t mConnectionNumber = 0;
    steady::time_point mConnectNotBefore;
    std::chrono::milliseconds mBackoff{ 0 };
    steady::time_point mIdleDeadline;
    std::size_t mInFlight = 0;
  };
  struct ended_connection
  {
    node_id mPeer;
    std::uint64_t mConnectionNumber;
    peer_error mError;
  };

  std::optional<peer_error> Connect(const peer_target& aTarget, peer& aPeer);
  void CloseConnection(const node_id& aId, peer_error aError);
  void DelayNextConnect(peer& aPeer);
  void CompleteCall(std::uint64_t aCall, peer_call_result aBody);
  void ScheduleReports();
  void ProcessReports();
  void CheckDeadlines();
  void CloseIdleConnections(steady::time_point aNow);
  void HandleTimeout(std::uint64_t aCall);

  std::shared_ptr<peer_loop> mLoop = peer_loop::Get();
  peer_client_settings mSettings;
  peer_key_ring mKeys;
  peer_client_counters mCounters;
  std::uint64_t mNextCall = 1;
  std::uint64_t mNextConnection = 1;
  /// By call number. All calls have the same timeout, so this is also the order
  /// of their deadlines.
  std::map<std::uint64_t, call> mCalls;
  std::map<node_id, peer> mPeers;
  std::vector<std::pair<std::uint64_t, peer_call_result>> mCallResults;
  std::vector<ended_connection> mEndedConnections;
  guint mReportSource = 0;
  loop_timer mDeadlineTimer;
  bool mClosed = false;
};

void peer_client_state::Call(const peer_target& aTarget,
                             peer_method aMethod,
                             std::string aBody,
                             body_callback aReply)
{
  ++mCounters.mCalls;
  const std::uint64_t number = mNextCall++;
  const auto now = steady::now();
  peer& target = mPeers[aTarget.mNode];
  std::optional<peer_error> error;
  if (target.mInFlight >= mSettings.mMaxInFlight) {
    error = peer_error::Overloaded;
  } else {
    error = Connect(aTarget, target);
  }
  call& entry = mCalls[number];
  entry.mPeer = aTarget.mNode;
  entry.mDeadline = now + mSettings.mTimeout;
  entry.mReply = std::move(aReply);
  ++target.mInFlight;
  if (!mDeadlineTimer.Active()) {
    mDeadlineTimer.Every(kDeadlineCheckInterval, [this] { CheckDeadlines(); });
  }
  if (error) {
    mCallResults.emplace_back(number, *error);
    ScheduleReports();
    return;
  }
  target.mIdleDeadline = now + mSettings.mIdleTimeout;
  entry.mRepliesBefore = target.mConnection->Replies();
  target.mConnection->Send({ number, aMethod, std::move(aBody) });
}

std::optional<peer_error> peer_client_state::Connect(const peer_target& aTarget,
                                                     peer& aPeer)
{
  if (aPeer.mAddress != aTarget.mAddress) {
    CloseConnection(aTarget.mNode, peer_error::Unreachable);
    aPeer.mAddress = aTarget.mAddress;
    aPeer.mConnectNotBefore = {};
    aPeer.mBackoff = {};
  }
  if (aPeer.mConnection) {
    return std::nullopt;
  }
  if (steady::now() < aPeer.mConnectNotBefore) {
    return peer_error::BackingOff;
  }
  GSocketAddress* address = ParsePeerAddress(aTarget.mAddress.c_str());
  if (address == nullptr) {
    return peer_error::BadAddress;
  }
  const std::uint64_t number = mNextConnection++;
  aPeer.mConnectionNumber = number;
  peer_connection::report_functions reports;
  reports.mOnResult = [this](std::uint64_t aCall, peer_call_result aBody) {
    mCallResults.emplace_back(aCall, std::move(aBody));
    ScheduleReports();
  };
  reports.mOnEnded = [this, number, id = aTarget.mNode](peer_error aError) {
    mEndedConnections.push_back({ id, number, aError });
    ScheduleReports();
  };
  aPeer.mConnection = std::make_unique<peer_connection>(mSettings.mSelf,
                                                        aTarget.mNode,
                                                        address,
                                                        mKeys,
                                                        mCounters,
                                                        std::move(reports));
  g_object_unref(address);
  return std::nullopt;
}

// Closes a peer's connection and fails its calls.
void peer_client_state::CloseConnection(const node_id& aId, peer_error aError)
{
  peer& target = mPeers[aId];
  if (!target.mConnection) {
    return;
  }
  target.mConnection.reset();
  for (const auto& [number, entry] : mCalls) {
    if (entry.mPeer == aId) {
      mCallResults.emplace_back(number, aError);
    }
  }
  ScheduleReports();
}

void peer_client_state::DelayNextConnect(peer& aPeer)
{
  ++mCounters.mConnectFailures;
  aPeer.mBackoff = aPeer.mBackoff.count() == 0
                     ? mSettings.mBackoff
                     : std::min(aPeer.mBackoff * 2, mSettings.mMaxBackoff);
  aPeer.mConnectNotBefore = steady::now() + aPeer.mBackoff;
}

void peer_client_state::ScheduleReports()
{
  if (mReportSource != 0 || mClosed) {
    return;
  }
  mReportSource = g_idle_add_full(
    G_PRIORITY_DEFAULT,
    [](gpointer aSelf) -> gboolean {
      auto* self = static_cast<peer_client_state*>(aSelf);
      self->mReportSource = 0;
      self->ProcessReports();
      return G_SOURCE_REMOVE;
    },
    this,
    nullptr);
}

void peer_client_state::ProcessReports()
{
  // A callback may destroy the client.
  const std::shared_ptr<peer_client_state> keepAlive = shared_from_this();
  for (const ended_connection& report : std::exchange(mEndedConnections, {})) {
    peer& target = mPeers[report.mPeer];
    if (target.mConnection &&
        target.mConnectionNumber == report.mConnectionNumber) {
      const bool wasOpen = target.mConnection->IsOpen();
      // Only an attempt to connect that failed delays the next one. A
      // connection that was open may be replaced at once.
      if (!wasOpen) {
        DelayNextConnect(target);
      }
      CloseConnection(report.mPeer, report.mError);
    }
  }
  for (auto& [number, body] : std::exchange(mCallResults, {})) {
    if (mClosed) {
      return;
    }
    CompleteCall(number, std::move(body));
  }
}

void peer_client_state::CompleteCall(std::uint64_t aCall,
                                     peer_call_result aBody)
{
  const auto found = mCalls.find(aCall);
  if (found == mCalls.end()) {
    return;
  }
  const call entry = std::move(found->second);
  mCalls.erase(found);
  peer& target = mPeers[entry.mPeer];
  --target.mInFlight;
  if (target.mConnection) {
    target.mConnection->Cancel(aCall);
  }
  if (aBody.has_value()) {
    target.mBackoff = {};
  } else {
    ++mCounters.mFailed;
    mCounters.mRefusals += IsRefusal(aBody.error()) ? 1 : 0;
  }
  entry.mReply(std::move(aBody));
}

void peer_client_state::CheckDeadlines()
{
  const auto now = steady::now();
  std::vector<std::uint64_t> expired;
  for (const auto& [number, entry] : mCalls) {
    if (entry.mDeadline > now) {
      break;
    }
    expired.push_back(number);
  }
  for (const std::uint64_t number : expired) {
    HandleTimeout(number);
  }
  CloseIdleConnections(now);
}

void peer_client_state::CloseIdleConnections(steady::time_point aNow)
{
  bool connected = false;
  for (auto it = mPeers.begin(); it != mPeers.end();) {
    peer& target = it->second;
    if (target.mInFlight == 0 && target.mIdleDeadline <= aNow) {
      target.mConnection.reset();
    }
    connected = connected || target.mConnection != nullptr;
    const bool unused =
      !target.mConnection && target.mInFlight == 0 &&
      target.mConnectNotBefore + mSettings.mIdleTimeout <= aNow;
    it = unused ? mPeers.erase(it) : std::next(it);
  }
  if (mCalls.empty() && !connected && mPeers.empty()) {
    mDeadlineTimer.Cancel();
  }
}

void peer_client_state::HandleTimeout(std::uint64_t aCall)
{
  ++mCounters.mTimeouts;
  const call& entry = mCalls.at(aCall);
  const node_id id = entry.mPeer;
  peer& target = mPeers[id];
  // Recorded first, so that this result wins over those that closing the
  // connection records below.
  mCallResults.emplace_back(aCall, peer_error::Timeout);
  ScheduleReports();
  // A connection without any reply since the call is considered broken. After a
  // partition TCP would retransmit old segments at growing intervals.
  if (target.mConnection &&
      target.mConnection->Replies() == entry.mRepliesBefore) {
    DelayNextConnect(target);
    CloseConnection(id, peer_error::Timeout);
  }
}

void peer_client_state::Close()
{
  mClosed = true;
  if (mReportSource != 0) {
    g_source_remove(std::exchange(mReportSource, 0));
  }
  mDeadlineTimer.Cancel();
  mPeers.clear();
  mCalls.clear();
}

namespace {

template<class Reply>
peer_client_state::body_callback DecodeReply(
  peer_client::callback<Reply> aCallback)
{
  return [callback = std::move(aCallback)](const peer_call_result& aBody) {
    if (!aBody.has_value()) {
      callback(aBody.error());
      return;
    }
    Reply reply;
    if (!DecodeMessage(aBody.value(), reply)) {
      callback(peer_error::Malformed);
      return;
    }
    callback(std::move(reply));
  };
}

} // namespace

peer_client::peer_client(peer_client_settings aSettings, peer_key_ring aKeys)
  : mState(std::make_shared<peer_client_state>(std::move(aSettings),
                                               std::move(aKeys)))
{
}

peer_client::~peer_client()
{
  mState->Close();
}

void peer_client::Heartbeat(const peer_target& aTarget,
                            const heartbeat& aMessage,
                            callback<heartbeat> aReply)
{
  mState->Call(aTarget,
               peer_method::Heartbeat,
               EncodeMessage(aMessage),
               DecodeReply<heartbeat>(std::move(aReply)));
}

void peer_client::HoldCharges(const peer_target& aTarget,
                              const hold_charges_request& aMessage,
                              callback<hold_charges_reply> aReply)
{
  mState->Call(aTarget,
               peer_method::HoldCharges,
               EncodeMessage(aMessage),
               DecodeReply<hold_charges_reply>(std::move(aReply)));
}

void peer_client::DropCharges(const peer_target& aTarget,
                              const drop_charges_request& aMessage,
                              callback<peer_ack> aReply)
{
  mState->Call(aTarget,
               peer_method::DropCharges,
               EncodeMessage(aMessage),
               DecodeReply<peer_ack>(std::move(aReply)));
}

void peer_client::Quarantine(const peer_target& aTarget,
                             const quarantine_message& aMessage,
                             callback<peer_ack> aReply)
{
  mState->Call(aTarget,
               peer_method::Quarantine,
               EncodeMessage(aMessage),
               DecodeReply<peer_ack>(std::move(aReply)));
}

void peer_client::SetKeys(peer_key_ring aKeys)
{
  mState->SetKeys(std::move(aKeys));
}

const peer_client_counters& peer_client::Counters() const
{
  return mState->Counters();
}
