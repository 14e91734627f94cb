#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>

#include <libsoup/soup.h>

/// Sockets of a session's open connections by libsoup's connection identifier.
/// libsoup returns a response as nested streams. Watching the socket instead
/// takes one event source in place of four.
class connection_sockets
{
public:
  /// Tracks the connections that a session opens from now on. Neither the table
  /// nor the session has to outlive the other.
  static std::shared_ptr<connection_sockets> Track(SoupSession* aSession);

  /// Socket of the connection that a message uses; null when it is not known.
  /// The socket stays valid while the message reads from it.
  GSocket* Find(SoupMessage* aMessage) const;
  std::size_t Size() const { return mSockets.size(); }

private:
  void Add(std::uint64_t aConnection, GSocket* aSocket);

  static void OnMessageQueued(SoupSession*, SoupMessage*, gpointer aTable);
  static void OnNetworkEvent(SoupMessage*,
                             GSocketClientEvent,
                             GIOStream*,
                             gpointer aTable);
  static void OnSocketDestroyed(gpointer aEntry, GObject*);

  std::unordered_map<std::uint64_t, GSocket*> mSockets;
  std::weak_ptr<connection_sockets> mSelf;
};
