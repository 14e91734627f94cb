#include <optional>

#include <gtest/gtest.h>

#include "Common/EventLoop.h"
#include "Peer/PeerStream.h"
#include "PeerFixture.h"

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReplyTimeout{ 5000 };

const peer_key kOldKey{ "k1", "first secret" };
const peer_key kNewKey{ "k2", "second secret" };

class peer_rpc : public testing::Test
{
protected:
  peer_rpc()
    : mServer(ListenOn("b", mHandler, peer_key_ring({ kOldKey })))
  {
    mSettings.mSelf = { "a" };
    mSettings.mTimeout = milliseconds(200);
    mSettings.mBackoff = milliseconds(20);
    MakeClient({ kOldKey });
  }

  void MakeClient(std::vector<peer_key> aKeys)
  {
    mClient =
      std::make_unique<peer_client>(mSettings, peer_key_ring(std::move(aKeys)));
  }

  peer_target Target() const { return { { "b" }, mServer->Address() }; }

  std::optional<peer_error> SendHeartbeat(const peer_target& aTarget)
  {
    bool done = false;
    std::optional<peer_error> error;
    mClient->Heartbeat(aTarget, mMessage, [&](auto aReply) {
      done = true;
      if (aReply.has_value()) {
        mReply = aReply.value();
      } else {
        error = aReply.error();
      }
    });
    EXPECT_FALSE(done);
    EXPECT_TRUE(mLoop.RunUntil([&] { return done; }, kReplyTimeout));
    return error;
  }

  // Repeats a call, since it may fall into the backoff delay before the next
  // attempt to connect.
  std::optional<peer_error> SendHeartbeatUntilConnected(
    const peer_target& aTarget)
  {
    for (int i = 0; i < 100; ++i) {
      const auto error = SendHeartbeat(aTarget);
      if (!error) {
        return error;
      }
      mLoop.RunUntil([] { return false; }, milliseconds(20));
    }
    return peer_error::Timeout;
  }

  event_loop mLoop;
  recording_handler mHandler;
  std::unique_ptr<peer_server> mServer;
  peer_client_settings mSettings;
  std::unique_ptr<peer_client> mClient;
  heartbeat mMessage;
  heartbeat mReply;
};

} // namespace

// Guards against message fields that are lost or changed on the wire, for every
// method, in calls and replies, to two servers.
TEST_F(peer_rpc, CarriesAllMessages)
{
  const member_descriptor where{ { "z1" }, { "r" }, "1.2.3.4:80", "1.2.3.4:9" };
  mMessage.mFrom = { { "a" }, 7, 2, member_health::Alive, true, where };
  mMessage.mConfigVersion = 12;
  mMessage.mUpdates = { { { "c" }, 3, 1, member_health::Dead, false, {} } };
  mMessage.mProbeRequests = { { "d" } };
  mMessage.mUnreachable = { { "e" }, { "f" } };
  mHandler.mReply.mConfigVersion = 13;
  EXPECT_EQ(SendHeartbeat(Target()), std::nullopt);
  EXPECT_EQ(mHandler.mHeartbeats, std::vector{ mMessage });
  EXPECT_EQ(mHandler.mFrom.mName, "a");
  EXPECT_EQ(mReply, mHandler.mReply);

  recording_handler other;
  const auto second = ListenOn("c", other, peer_key_ring({ kOldKey }));
  const hold_charges_request charges{ { { { 1, 2 },
                                          { "clinic" },
                                          { "b1" },
                                          { { "a" }, 7 },
                                          900,
                                          wall_time(milliseconds(5)),
                                          17 } } };
  const drop_charges_request drop{ { { "a" }, 7 }, { { 1, 2 }, { 3, 4 } } };
  const quarantine_message notice{
    { 5, 6 }, quarantine_message_state::Cleared, { "up1" }, { "a" }, 2
  };
  const peer_target target{ { "c" }, second->Address() };
  other.mHoldStatus = hold_charges_status::HolderClosed;
  int done = 0;
  mClient->HoldCharges(target, charges, [&](auto aReply) {
    ASSERT_TRUE(aReply.has_value());
    EXPECT_EQ(aReply.value().mStatus, hold_charges_status::HolderClosed);
    ++done;
  });
  mClient->DropCharges(
    target, drop, [&](auto aReply) { done += aReply.has_value(); });
  mClient->Quarantine(
    target, notice, [&](auto aReply) { done += aReply.has_value(); });
  EXPECT_TRUE(mLoop.RunUntil([&] { return done == 3; }, kReplyTimeout));
  EXPECT_EQ(other.mHeld, std::vector{ charges });
  EXPECT_EQ(other.mDropped, std::vector{ drop });
  EXPECT_EQ(other.mNotices, std::vector{ notice });
}

// Guards against calls with a wrong secret or an unknown key being handled, and
// against the refusal being reported as a lost connection.
TEST_F(peer_rpc, RefusesWrongKeys)
{
  MakeClient({ { "k1", "guessed" } });
  EXPECT_EQ(SendHeartbeat(Target()), peer_error::BadSignature);
  MakeClient({ kNewKey });
  EXPECT_EQ(SendHeartbeat(Target()), peer_error::UnknownKey);
  MakeClient({});
  EXPECT_EQ(SendHeartbeat(Target()), peer_error::NoKey);
  EXPECT_TRUE(mHandler.mHeartbeats.empty());
  EXPECT_EQ(mServer->Counters().mBadSignature, 1);
  EXPECT_EQ(mServer->Counters().mUnknownKey, 1);
}

// Guards against calls that fail during a key rotation, and against a rotation
// that needs new connections.
TEST_F(peer_rpc, RotatesKeysWithoutFailures)
{
  EXPECT_EQ(SendHeartbeat(Target()), std::nullopt);
  mServer->SetKeys(peer_key_ring({ kOldKey, kNewKey }));
  EXPECT_EQ(SendHeartbeat(Target()), std::nullopt);
  mClient->SetKeys(peer_key_ring({ kNewKey, kOldKey }));
  EXPECT_EQ(SendHeartbeat(Target()), std::nullopt);
  mServer->SetKeys(peer_key_ring({ kNewKey }));
  EXPECT_EQ(SendHeartbeat(Target()), std::nullopt);
  mClient->SetKeys(peer_key_ring({ kOldKey }));
  EXPECT_EQ(SendHeartbeat(Target()), peer_error::UnknownKey);
  EXPECT_EQ(mClient->Counters().mConnects, 1);
}

// Guards against messages being handled by another node that now has the
// receiver's address.
TEST_F(peer_rpc, RefusesAnotherReceiver)
{
  EXPECT_EQ(SendHeartbeat({ { "x" }, mServer->Address() }),
            peer_error::WrongReceiver);
  EXPECT_EQ(mServer->Counters().mWrongReceiver, 1);
}

// Guards against a client that does not reconnect after its server restarts.
TEST_F(peer_rpc, ReconnectsToARestartedServer)
{
  const peer_target target = Target();
  EXPECT_EQ(SendHeartbeat(target), std::nullopt);
  mServer.reset();
  EXPECT_EQ(SendHeartbeat(target), peer_error::Unreachable);
  EXPECT_EQ(SendHeartbeat(target), peer_error::Unreachable);
  EXPECT_EQ(SendHeartbeat(target), peer_error::BackingOff);
  mServer =
    ListenOn("b", mHandler, peer_key_ring({ kOldKey }), target.mAddress);
  ASSERT_NE(mServer, nullptr);
  EXPECT_EQ(SendHeartbeatUntilConnected(target), std::nullopt);
}

// Guards against calls without a timeout to a host that accepts connections but
// never replies, and against reusing that connection afterwards.
TEST_F(peer_rpc, TimesOutOnASilentPeer)
{
  GSocketAddress* any = ParsePeerAddress("127.0.0.1:0");
  peer_socket silent = MakePeerSocket(any);
  ASSERT_TRUE(g_socket_bind(silent.Get(), any, TRUE, nullptr));
  ASSERT_TRUE(g_socket_listen(silent.Get(), nullptr));
  GSocketAddress* bound = g_socket_get_local_address(silent.Get(), nullptr);
  char* text = g_socket_connectable_to_string(G_SOCKET_CONNECTABLE(bound));
  const peer_target target{ { "b" }, text };
  g_free(text);
  g_object_unref(bound);
  g_object_unref(any);
  EXPECT_EQ(SendHeartbeat(target), peer_error::Timeout);
  EXPECT_EQ(mClient->Counters().mTimeouts, 1);
  silent.Close();
  mServer =
    ListenOn("b", mHandler, peer_key_ring({ kOldKey }), target.mAddress);
  ASSERT_NE(mServer, nullptr);
  EXPECT_EQ(SendHeartbeatUntilConnected(target), std::nullopt);
}

// Guards against unbounded memory use by calls to a peer that does not reply.
TEST_F(peer_rpc, BoundsTheCallsInFlight)
{
  mSettings.mMaxInFlight = 3;
  MakeClient({ kOldKey });
  int done = 0;
  int overloaded = 0;
  for (int i = 0; i < 5; ++i) {
    mClient->Heartbeat(Target(), mMessage, [&](auto aReply) {
      ++done;
      overloaded += !aReply && aReply.error() == peer_error::Overloaded;
    });
  }
  EXPECT_TRUE(mLoop.RunUntil([&] { return done == 5; }, kReplyTimeout));
  EXPECT_EQ(overloaded, 2);
}

// Guards against callbacks after the client was destroyed, also when a callback
// destroys the client itself.
TEST_F(peer_rpc, NeverCallsBackAfterDestruction)
{
  int calls = 0;
  const auto destroy = [&](const auto&) {
    ++calls;
    mClient.reset();
  };
  mClient->Heartbeat(Target(), mMessage, destroy);
  mClient->Heartbeat(Target(), mMessage, destroy);
  EXPECT_TRUE(mLoop.RunUntil([&] { return calls > 0; }, kReplyTimeout));
  mLoop.RunUntil([] { return false; }, milliseconds(300));
  EXPECT_EQ(calls, 1);

  MakeClient({ kOldKey });
  mClient->Heartbeat(Target(), mMessage, [&](const auto&) { ++calls; });
  mClient.reset();
  mLoop.RunUntil([] { return false; }, milliseconds(300));
  EXPECT_EQ(calls, 1);
}

// Guards against a malformed address being reported as an unreachable peer, and
// against a server that seems to listen on a port in use.
TEST_F(peer_rpc, ReportsBadAddresses)
{
  EXPECT_EQ(SendHeartbeat({ { "b" }, "b.example:80" }), peer_error::BadAddress);
  EXPECT_EQ(SendHeartbeat({ { "b" }, "" }), peer_error::BadAddress);
  EXPECT_EQ(ListenOn("c", mHandler, {}, mServer->Address()), nullptr);
}
