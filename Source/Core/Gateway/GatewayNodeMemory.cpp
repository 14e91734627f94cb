// Parts of `gateway_node` that bound the memory held for clients and servers.

#include "Gateway/GatewayNode.h"

#include <algorithm>

#include "Common/Log.h"
#include "Gateway/Refusal.h"
#include "Gateway/UnfinishedRequests.h"
#include "Net/HttpStatus.h"

namespace {

// Retry-After of requests that the memory has no room for.
constexpr std::chrono::milliseconds kMemoryRetryDelay(200);
// Memory of an open connection and its request, without input and output.
constexpr std::size_t kConnectionBytes = 4096;
// Connections that the memory of the process without requests allows for.
constexpr std::size_t kIncludedConnections = 500;

} // namespace

bool gateway_node::MayHold(std::size_t aHeld, std::size_t aMore)
{
  return mHeld.MayHold(aHeld, aMore);
}

void gateway_node::OnHeld(std::size_t aBytes)
{
  mHeld.Add(held_kind::ArrivingRequests, aBytes);
}

std::size_t gateway_node::UnsentLimit()
{
  return std::min(kDefaultUnsentLimit, mHeld.StreamLimit());
}

std::pair<http_server_response, std::string> gateway_node::RefuseInput()
{
  mMetrics.OnAnswer("none", http_status::kServiceUnavailable, "memory_full");
  Log(log_level::Info,
      "request_not_read",
      { Field("reason", "memory_full"),
        Field("held_bytes", mHeld.Total()),
        Field("held_limit", mHeld.Limit()) });
  return { RefusalHead(http_status::kServiceUnavailable, kMemoryRetryDelay),
           RefusalBody("memory_full") };
}

void gateway_node::UpdateHeldBytes()
{
  std::size_t arriving = 0;
  std::size_t toClients = 0;
  std::size_t connections = 0;
  for (const http_listener* listener : Listeners()) {
    for (const auto& connection : listener->Connections()) {
      if (connection->Closed()) {
        continue;
      }
      arriving += connection->InputBytes();
      toClients += connection->PendingBytes();
    }
    connections += listener->Open();
  }
  std::size_t toServers = 0;
  std::size_t buffered = 0;
  for (const auto& [connection, session] : mSessions) {
    toServers += session->BytesToServer();
    buffered += session->BufferedBytes();
  }
  for (const auto& [connection, relay] : mRelays) {
    toServers += relay->BytesToNode();
  }
  mHeld.Set(held_kind::ArrivingRequests, arriving);
  mHeld.Set(held_kind::ToServers, toServers);
  mHeld.Set(held_kind::BufferedResponses, buffered);
  mHeld.Set(held_kind::ToClients, toClients);
  connections -= std::min(connections, kIncludedConnections);
  mHeld.Set(held_kind::Connections, connections * kConnectionBytes);
}

std::vector<const http_listener*> gateway_node::Listeners() const
{
  std::vector<const http_listener*> listeners = { mClientListener.get(),
                                                  mReadiness.get(),
                                                  mDirectory.get() };
  if (mMetricsListener) {
    listeners.push_back(mMetricsListener.get());
  }
  return listeners;
}

void gateway_node::EndOverdueRequests(time_point aNow)
{
  const std::size_t excess = mHeld.PressureExcess();
  // What arrived during a suspension may not be read yet.
  if (excess == 0 || mStalls.MustReadFirst(aNow)) {
    return;
  }
  std::vector<unfinished_request> unfinished;
  std::map<std::uintptr_t, http_server_connection*> connections;
  for (const http_listener* listener : Listeners()) {
    for (const auto& connection : listener->Connections()) {
      if (connection->Closed() || connection->InputBytes() == 0) {
        continue;
      }
      const auto id = reinterpret_cast<std::uintptr_t>(connection.get());
      unfinished.push_back(
        { id, connection->InputBytes(), connection->InputSince() });
      connections[id] = connection.get();
    }
  }
  for (const std::uintptr_t id :
       ChooseOverdueRequests(std::move(unfinished), excess, aNow)) {
    connections[id]->ShedInput();
  }
}

std::vector<client_sample> gateway_node::SampleClients(time_point aNow) const
{
  std::vector<client_sample> samples;
  for (const auto& connection : mClientListener->Connections()) {
    if (connection->Closed() || connection->PendingBytes() == 0) {
      continue;
    }
    const auto state = connection->SendState();
    if (!state) {
      continue;
    }
    const auto session = mSessions.find(connection.get());
    const auto relay = mRelays.find(connection.get());
    // A planned stop lets clients read their whole responses.
    const bool paused =
      !mContext.mStop &&
      (connection->AwaitsReads() ||
       (session != mSessions.end() && session->second->ReadingPaused()) ||
       (relay != mRelays.end() && relay->second->ReadingPaused()));
    samples.push_back({ reinterpret_cast<std::uintptr_t>(connection.get()),
                        connection->PendingBytes(),
                        state->mAcknowledgedBytes,
                        state->mWindowClosed,
                        aNow - state->mSinceHeard,
                        paused });
  }
  return samples;
}

void gateway_node::EndSlowReaders(time_point aNow)
{
  // Acknowledgements that arrived during a suspension may not be handled yet.
  if (mStalls.MustReadFirst(aNow)) {
    return;
  }
  UpdateHeldBytes();
  const auto ended =
    mSlowReaders.Update(SampleClients(aNow), mHeld.Excess(), aNow);
  for (const client_to_end& client : ended) {
    const auto& connections = mClientListener->Connections();
    const auto found =
      std::ranges::find_if(connections, [&](const auto& aConnection) {
        return reinterpret_cast<std::uintptr_t>(aConnection.get()) ==
               client.mConnection;
      });
    if (found != connections.end() && !(*found)->Closed()) {
      EndSlowReader(**found, client, aNow);
    }
  }
}

void gateway_node::EndSlowReader(http_server_connection& aConnection,
                                 const client_to_end& aClient,
                                 time_point aNow)
{
  const auto session = mSessions.find(&aConnection);
  const auto relay = mRelays.find(&aConnection);
  const bool hasSession =
    session != mSessions.end() && !session->second->Finished();
  const bool hasRelay = relay != mRelays.end() && !relay->second->Finished();
  // The response may be complete and only its last bytes unread.
  Log(log_level::Info,
      "slow_client_ended",
      { Field("id",
              hasSession ? session->second->RequestId()
              : hasRelay ? relay->second->RequestId()
                         : std::string()),
        Field("bytes", aClient.mUnsentBytes),
        Field("unread_ms",
              std::chrono::duration_cast<std::chrono::milliseconds>(
                aNow - aClient.mUnreadSince)
                .count()),
        Field("bound", aClient.mForNode ? "node" : "stream"),
        Field("held_bytes", mHeld.Total()),
        Field("held_limit", mHeld.Limit()) });
  mMetrics.OnSlowClient(aClient.mForNode);
  if (hasSession) {
    session->second->EndSlowClient();
  } else if (hasRelay) {
    relay->second->EndSlowClient();
  } else {
    aConnection.Abort();
  }
}
