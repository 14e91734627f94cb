#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "Common/Identity.h"
#include "Common/Time.h"
#include "Gateway/GatewayTypes.h"

/// One run of a server's process.
struct server_run
{
  upstream_id mUpstream;
  std::uint64_t mIncarnation = 0;
  auto operator<=>(const server_run&) const = default;
};

/// Text form `<upstream>.<incarnation>`, used in row keys and logs.
std::string FormatServerRun(const server_run& aRun);
/// Parses the text form of `FormatServerRun`; nothing if it is malformed.
std::optional<server_run> ParseServerRun(std::string_view aText);

/// Until when the runs of servers were certainly alive, as their entries in the
/// store show.
class server_liveness
{
public:
  /// The server wrote its entry, so its run was alive until shortly before.
  void OnServerEntry(const server_entry& aEntry, time_point aNow);
  /// Whether the run had not ended at the given time.
  bool WasAlive(const server_run& aRun, time_point aAt) const;
  /// Drops servers whose last entry was read before the given time.
  void Expire(time_point aReadBefore);

private:
  struct life_signs
  {
    std::uint64_t mIncarnation = 0;
    std::uint64_t mSequence = 0;
    /// When the entry with this sequence was first read.
    time_point mReadAt;
    /// The run had not ended at this time.
    time_point mAliveAt;
  };

  std::unordered_map<upstream_id, life_signs> mServers;
};
