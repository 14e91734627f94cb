#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <libsoup/soup.h>

#include "Common/Time.h"
#include "Config/SocketAddress.h"

/// Endpoints of an account and when to ask again.
struct known_endpoints
{
  std::vector<socket_address> mAddresses;
  std::chrono::milliseconds mCache{ 0 };
  auto operator<=>(const known_endpoints&) const = default;
};

/// Reads `{"endpoints": [...], "cache_ms": n}`; an entry is an address or an
/// object with `address`. Entries that are not addresses are left out.
known_endpoints ReadEndpoints(std::string_view aBody);

/// Asks the fleet which addresses an account should use, and caches the
/// answers. A stale answer is used while no node answers.
class endpoint_client
{
public:
  /// Addresses to try in turn; the given nodes when no answer was ever had.
  using callback = std::function<void(std::vector<socket_address>)>;

  endpoint_client(SoupSession* aSession,
                  const time_source& aTime,
                  std::vector<socket_address> aNodes);
  ~endpoint_client();
  endpoint_client(const endpoint_client&) = delete;
  endpoint_client& operator=(const endpoint_client&) = delete;

  /// Calls back with the endpoints for an API key, at once when cached.
  void Get(const std::string& aApiKey, callback aCallback);

private:
  struct cache_entry
  {
    std::vector<socket_address> mAddresses;
    time_point mFreshUntil{};
    bool mAsking = false;
    std::vector<callback> mWaiting;
  };
  struct question;

  void Ask(const std::string& aApiKey, std::size_t aNode);
  void OnAnswer(const question& aQuestion, GBytes* aBody);
  void Answer(cache_entry& aEntry);

  SoupSession* mSession;
  const time_source& mTime;
  std::vector<socket_address> mNodes;
  std::map<std::string, cache_entry> mCache;
  GCancellable* mCancellable;
  /// Expires with this object, so that late replies are dropped.
  std::shared_ptr<int> mAlive = std::make_shared<int>(0);
};
