#pragma once

#include <memory>
#include <string>
#include <vector>

#include "Net/HttpConnection.h"

/// Accepts connections at one address and passes their requests to one handler.
class http_listener final : private tcp_listener::acceptor
{
public:
  /// Null when the address cannot be bound; `aError` names the reason.
  static std::unique_ptr<http_listener> Listen(const tcp_address& aAddress,
                                               http_request_handler& aHandler,
                                               const time_source& aTime,
                                               std::string& aError);

  const tcp_address& Address() const { return mListener->Address(); }
  /// Sets the limits of open and later connections.
  void SetLimits(const http_server_limits& aLimits);
  /// Ends idle and slow connections. Must be called at least every 250 ms.
  void CheckDeadlines(time_point aNow);
  /// Closes idle connections now and each other one after its response. New
  /// ones may send their first request.
  void CloseIdle();
  /// Stops or resumes accepting connections. While stopped, new connections are
  /// refused. False when the address cannot be bound again.
  bool SetAccepting(bool aAccepting, std::string& aError);
  /// Every later response announces and closes its connection.
  void SetCloseAfterResponse();
  std::size_t Open() const { return mConnections.size(); }
  /// The connections, some of which may be closed.
  const std::vector<std::unique_ptr<http_server_connection>>& Connections()
    const
  {
    return mConnections;
  }
  /// Whether a connection has a request or response in progress, or response
  /// bytes that the kernel has not taken yet.
  bool HasWork() const;

private:
  http_listener(http_request_handler& aHandler, const time_source& aTime)
    : mHandler(aHandler)
    , mTime(aTime)
  {
  }
  void OnAccept(int aDescriptor) override;
  bool FreeDescriptor() override;

  http_request_handler& mHandler;
  const time_source& mTime;
  http_server_limits mLimits;
  bool mClosing = false;
  std::unique_ptr<tcp_listener> mListener;
  std::vector<std::unique_ptr<http_server_connection>> mConnections;
};
