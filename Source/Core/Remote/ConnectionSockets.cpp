#include "Remote/ConnectionSockets.h"

namespace {

using sockets_pointer = std::shared_ptr<connection_sockets>;

/// Table entry to remove when a socket is destroyed.
struct socket_entry
{
  std::weak_ptr<connection_sockets> mTable;
  std::uint64_t mConnection = 0;
};

void FreeReference(gpointer aReference, GClosure*)
{
  delete static_cast<sockets_pointer*>(aReference);
}

const sockets_pointer& SocketsOf(gpointer aReference)
{
  return *static_cast<sockets_pointer*>(aReference);
}

} // namespace

std::shared_ptr<connection_sockets> connection_sockets::Track(
  SoupSession* aSession)
{
  auto table = std::make_shared<connection_sockets>();
  table->mSelf = table;
  g_signal_connect_data(aSession,
                        "request-queued",
                        G_CALLBACK(OnMessageQueued),
                        new sockets_pointer(table),
                        FreeReference,
                        static_cast<GConnectFlags>(0));
  return table;
}

GSocket* connection_sockets::Find(SoupMessage* aMessage) const
{
  const auto found = mSockets.find(soup_message_get_connection_id(aMessage));
  return found == mSockets.end() ? nullptr : found->second;
}

void connection_sockets::OnMessageQueued(SoupSession*,
                                         SoupMessage* aMessage,
                                         gpointer aTable)
{
  g_signal_connect_data(aMessage,
                        "network-event",
                        G_CALLBACK(OnNetworkEvent),
                        new sockets_pointer(SocketsOf(aTable)),
                        FreeReference,
                        static_cast<GConnectFlags>(0));
}

void connection_sockets::OnNetworkEvent(SoupMessage* aMessage,
                                        GSocketClientEvent aEvent,
                                        GIOStream* aConnection,
                                        gpointer aTable)
{
  const std::uint64_t connection = soup_message_get_connection_id(aMessage);
  const bool connected = aEvent == G_SOCKET_CLIENT_CONNECTED &&
                         connection != 0 && G_IS_SOCKET_CONNECTION(aConnection);
  if (connected) {
    SocketsOf(aTable)->Add(
      connection,
      g_socket_connection_get_socket(G_SOCKET_CONNECTION(aConnection)));
  }
}

void connection_sockets::Add(std::uint64_t aConnection, GSocket* aSocket)
{
  mSockets[aConnection] = aSocket;
  g_object_weak_ref(G_OBJECT(aSocket),
                    OnSocketDestroyed,
                    new socket_entry{ mSelf, aConnection });
}

void connection_sockets::OnSocketDestroyed(gpointer aEntry, GObject*)
{
  const std::unique_ptr<socket_entry> entry(static_cast<socket_entry*>(aEntry));
  if (const auto table = entry->mTable.lock()) {
    table->mSockets.erase(entry->mConnection);
  }
}
