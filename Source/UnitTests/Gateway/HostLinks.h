#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "GatewayFixture.h"

/// Bytes that wait for the outgoing link of a host. They are sent at its rate,
/// in the order in which they were handed over.
class outgoing_queue final
{
public:
  /// Forwards at once until a rate is set.
  void SetBytesPerSecond(double aBytesPerSecond);
  void Add(const std::shared_ptr<tcp_stream>& aTo, std::string_view aBytes);
  /// Closes the stream once what was added for it is sent.
  void Close(const std::shared_ptr<tcp_stream>& aTo);
  /// Drops what was added for the stream and resets it.
  void Reset(const std::shared_ptr<tcp_stream>& aTo);

private:
  struct entry
  {
    std::shared_ptr<tcp_stream> mTo;
    std::string mBytes;
    bool mClose = false;
  };

  void Send();

  double mBytesPerSecond = 0.0;
  std::deque<entry> mEntries;
  loop_timer mTimer;
};

/// Forwards connections to a server and can be cut like the link of a host.
class severable_link final : private tcp_listener::acceptor
{
public:
  enum class state : std::uint8_t
  {
    Open,
    /// Nothing is forwarded; connections stay open.
    Hangs,
    /// Connections are reset, also new ones.
    Resets,
    /// Open connections live on; new ones are refused.
    RefusesNew,
  };

  severable_link(tcp_address aTarget, outgoing_queue& aQueue);

  std::string Address() const { return FormatTcpAddress(mListener->Address()); }
  void SetState(state aState);

private:
  struct connection_pair;

  /// One end of a forwarded connection.
  struct side final : tcp_observer
  {
    void OnData(std::string_view aBytes) override;
    void OnEnd(tcp_end_reason aReason) override;

    severable_link* mLink = nullptr;
    side* mOther = nullptr;
    /// Whether it is the end at the host.
    bool mAtHost = false;
    std::shared_ptr<tcp_stream> mStream;
  };
  struct connection_pair
  {
    void Reset();

    side mNear;
    side mFar;
  };

  void OnAccept(int aDescriptor) override;

  tcp_address mTarget;
  outgoing_queue& mQueue;
  state mState = state::Open;
  std::unique_ptr<tcp_listener> mListener;
  std::vector<std::unique_ptr<connection_pair>> mPairs;
};

/// The store as a host sees it whose way to the servers leads over links.
class linked_row_store final : public forwarding_row_store
{
public:
  using forwarding_row_store::forwarding_row_store;

  void SetState(severable_link::state aState);
  /// Sets the rate of the host's outgoing link to the servers.
  void SetBytesPerSecond(double aBytesPerSecond)
  {
    mQueue.SetBytesPerSecond(aBytesPerSecond);
  }

private:
  page_callback WrapPage(page_callback aReply) override;
  void Reroute(std::string& aValue);

  outgoing_queue mQueue;
  std::map<std::string, std::unique_ptr<severable_link>> mLinks;
};
