#include <set>

#include <gtest/gtest.h>

#include "Common/EventLoop.h"
#include "Peer/PeerConnection.h"
#include "PeerFixture.h"

namespace {

const peer_key kKey{ "k1", "secret" };

capnp::Data::Reader ToBytes(const std::string& aText)
{
  return { reinterpret_cast<const kj::byte*>(aText.data()), aText.size() };
}

/// A caller that sends calls with any counter, body and signature over its own
/// connection.
class raw_caller
{
public:
  raw_caller(const std::string& aAddress, const std::string& aReceiver)
  {
    GSocketAddress* address = ParsePeerAddress(aAddress.c_str());
    peer_socket socket = MakePeerSocket(address);
    g_socket_set_blocking(socket.Get(), TRUE);
    g_socket_connect(socket.Get(), address, nullptr, nullptr);
    g_object_unref(address);
    ConfigurePeerSocket(socket);
    mStream =
      std::make_unique<peer_stream>(std::move(socket), mBytesIn, mBytesOut);
    mLink = std::make_unique<peer_rpc_link>(*mStream);
    mSigningContext = {
      { "a" }, { aReceiver }, std::string(kNonceBytes, 'n'), {}
    };
    auto request = mLink->Bootstrap().openRequest();
    request.setCaller("a");
    request.setReceiver(aReceiver.c_str());
    request.setNonce(ToBytes(mSigningContext.mCallerNonce));
    Await(request.send().then([this](auto&& aResults) {
      const auto nonce = aResults.getNonce();
      mSigningContext.mReceiverNonce.assign(nonce.begin(), nonce.end());
      mPeer = aResults.getPeer();
    }));
  }

  peer_wire::Status Send(std::uint64_t aCounter,
                         const std::string& aBody,
                         const std::string& aMac)
  {
    auto status = peer_wire::Status::MALFORMED;
    auto request = mPeer->heartbeatRequest();
    request.setCounter(aCounter);
    request.setKeyId("k1");
    request.setBody(ToBytes(aBody));
    request.setMac(ToBytes(aMac));
    Await(
      request.send().then([&](auto&& aReply) { status = aReply.getStatus(); }));
    return status;
  }

  std::string Sign(std::uint64_t aCounter, const std::string& aBody) const
  {
    const auto mac = SignMessage(
      kKey, mSigningContext, false, peer_method::Heartbeat, aCounter, aBody);
    return { mac.begin(), mac.end() };
  }

private:
  void Await(kj::Promise<void> aPromise)
  {
    mDone = false;
    const auto waiting =
      aPromise.then([this] { mDone = true; }).eagerlyEvaluate(nullptr);
    EXPECT_TRUE(mLoop.RunUntil([&] { return mDone; }, std::chrono::seconds(5)));
  }

  std::shared_ptr<peer_loop> mPort = peer_loop::Get();
  event_loop mLoop;
  bool mDone = false;
  std::uint64_t mBytesIn = 0;
  std::uint64_t mBytesOut = 0;
  std::unique_ptr<peer_stream> mStream;
  std::unique_ptr<peer_rpc_link> mLink;
  peer_signing_context mSigningContext;
  std::optional<peer_wire::Peer::Client> mPeer;
};

} // namespace

// Guards against replay attacks: a recorded call must not be accepted again on
// the same connection, on another one, or by another node.
TEST(peer_replay, RecordedCallsAreRefused)
{
  recording_handler handler;
  const peer_key_ring keys(std::vector<peer_key>{ kKey });
  const auto first = ListenOn("b", handler, keys);
  const auto second = ListenOn("c", handler, keys);
  const std::string body = EncodeMessage(heartbeat{});
  raw_caller caller(first->Address(), "b");
  const std::string mac = caller.Sign(1, body);
  EXPECT_EQ(caller.Send(1, body, mac), peer_wire::Status::OK);
  EXPECT_EQ(caller.Send(1, body, mac), peer_wire::Status::REPLAYED);
  EXPECT_EQ(caller.Send(2, body, mac), peer_wire::Status::BAD_SIGNATURE);
  raw_caller again(first->Address(), "b");
  EXPECT_EQ(again.Send(1, body, mac), peer_wire::Status::BAD_SIGNATURE);
  raw_caller other(second->Address(), "c");
  EXPECT_EQ(other.Send(1, body, mac), peer_wire::Status::BAD_SIGNATURE);
  EXPECT_EQ(handler.mHeartbeats.size(), 1);
  EXPECT_EQ(first->Counters().mReplayed, 1);
}

// Guards against crashes and oversized messages when authenticated bytes are
// not a valid message: a truncated one, one with any byte changed, and one with
// too many updates.
TEST(peer_replay, BrokenMessagesAreRefusedOrRead)
{
  heartbeat message;
  message.mFrom = { { "a" }, 1, 2, {}, false, member_descriptor{} };
  message.mUpdates.resize(kMaxUpdates, message.mFrom);
  const std::string text = EncodeMessage(message);
  heartbeat read;
  ASSERT_TRUE(DecodeMessage(text, read));
  EXPECT_EQ(read, message);
  EXPECT_FALSE(DecodeMessage(text.substr(0, text.size() / 2), read));
  for (std::size_t i = 0; i < text.size(); ++i) {
    std::string changed = text;
    changed[i] = static_cast<char>(changed[i] ^ 0xff);
    if (DecodeMessage(changed, read)) {
      EXPECT_LE(read.mUpdates.size(), kMaxUpdates);
    }
  }
  message.mUpdates.resize(kMaxUpdates + 1);
  EXPECT_FALSE(DecodeMessage(EncodeMessage(message), read));
}

// Guards against a signature that does not cover every part of the context:
// caller, receiver, nonces, direction, method, counter, content and secret.
TEST(peer_replay, SignatureBindsEveryPart)
{
  const peer_signing_context context{ { "a" }, { "b" }, "n1", "n2" };
  const auto sign = [](const peer_signing_context& aContext) {
    return SignMessage(kKey, aContext, false, peer_method::Heartbeat, 1, "x");
  };
  const std::set<peer_signature> signatures{
    sign(context),
    sign({ { "c" }, { "b" }, "n1", "n2" }),
    sign({ { "a" }, { "c" }, "n1", "n2" }),
    sign({ { "a" }, { "b" }, "n", "1n2" }),
    SignMessage(kKey, context, true, peer_method::Heartbeat, 1, "x"),
    SignMessage(kKey, context, false, peer_method::HoldCharges, 1, "x"),
    SignMessage(kKey, context, false, peer_method::Heartbeat, 2, "x"),
    SignMessage(kKey, context, false, peer_method::Heartbeat, 1, "y"),
    SignMessage({ "k1", "s" }, context, false, peer_method::Heartbeat, 1, "x"),
  };
  EXPECT_EQ(signatures.size(), 9);
}
