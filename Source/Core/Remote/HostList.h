#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Common/Result.h"

/// Whether a host serves or is about to shut down.
enum class host_state : std::uint8_t
{
  Live,
  Leaving,
};

/// What runs on a host; an engine is a model server.
enum class host_role : std::uint8_t
{
  Node,
  Engine,
  Service,
};

/// One host of the platform's list. The list may be out of date.
struct host_entry
{
  std::string mName;
  host_role mRole = host_role::Node;
  host_state mState = host_state::Live;
  std::string mZone;
  std::string mRegion;
  /// `IP:port` of the host's HTTP interface.
  std::string mAddress;
  /// `IP:port` for RPC between nodes; empty for other roles.
  std::string mPeerAddress;
  /// Name of the backend service that runs on the host; empty for other roles.
  std::string mService;
  auto operator<=>(const host_entry&) const = default;
};

/// The whole list at one version.
struct host_list_snapshot
{
  std::uint64_t mVersion = 0;
  std::vector<host_entry> mHosts;
  auto operator<=>(const host_list_snapshot&) const = default;
};

/// Why a request for the list returned none.
enum class host_list_error : std::uint8_t
{
  Unavailable,
  /// The caller's version is still the current one.
  NotModified,
  Timeout,
  Malformed,
};

/// The platform's list of live and leaving hosts.
class host_list
{
public:
  using callback =
    std::function<void(result<host_list_snapshot, host_list_error>)>;

  virtual ~host_list() = default;
  /// Requests the list. The reply is `NotModified` while its version is
  /// `aKnownVersion`; 0 always requests the list.
  virtual void Fetch(std::uint64_t aKnownVersion, callback aReply) = 0;
};
