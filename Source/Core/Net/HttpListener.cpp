#include "Net/HttpListener.h"

#include <algorithm>
#include <utility>

std::unique_ptr<http_listener> http_listener::Listen(
  const tcp_address& aAddress,
  http_request_handler& aHandler,
  const time_source& aTime,
  std::string& aError)
{
  auto listener =
    std::unique_ptr<http_listener>(new http_listener(aHandler, aTime));
  listener->mListener = tcp_listener::Listen(aAddress, *listener, aError);
  return listener->mListener ? std::move(listener) : nullptr;
}

void http_listener::SetLimits(const http_server_limits& aLimits)
{
  mLimits = aLimits;
  for (const auto& connection : mConnections) {
    connection->SetLimits(aLimits);
  }
}

void http_listener::OnAccept(int aDescriptor)
{
  mConnections.push_back(std::make_unique<http_server_connection>(
    aDescriptor, mLimits, mHandler, mTime.Now()));
  if (mClosing) {
    mConnections.back()->SetCloseAfterResponse();
  }
}

bool http_listener::FreeDescriptor()
{
  http_server_connection* longest = nullptr;
  for (const auto& connection : mConnections) {
    if (!connection->Closed() && connection->Idle() &&
        (longest == nullptr || connection->Deadline() < longest->Deadline())) {
      longest = connection.get();
    }
  }
  if (longest == nullptr) {
    return false;
  }
  longest->CloseIdle();
  return true;
}

void http_listener::CheckDeadlines(time_point aNow)
{
  // Handlers called here do not accept connections, so the vector does not
  // change in the loop.
  for (const auto& connection : mConnections) {
    connection->CheckDeadline(aNow);
  }
  std::erase_if(mConnections, [](const auto& aEntry) {
    return aEntry->Closed() && aEntry->CloseReported();
  });
}

bool http_listener::HasWork() const
{
  return std::ranges::any_of(mConnections, [](const auto& aConnection) {
    return !aConnection->Closed() &&
           (aConnection->HasRequest() || aConnection->PendingBytes() > 0);
  });
}

void http_listener::CloseIdle()
{
  for (const auto& connection : mConnections) {
    connection->CloseWhenIdle();
  }
}

bool http_listener::SetAccepting(bool aAccepting, std::string& aError)
{
  if (aAccepting) {
    return mListener->Resume(aError);
  }
  mListener->Pause();
  return true;
}

void http_listener::SetCloseAfterResponse()
{
  mClosing = true;
  for (const auto& connection : mConnections) {
    connection->SetCloseAfterResponse();
  }
}
