#include "Gateway/ServerLiveness.h"

#include <algorithm>
#include <charconv>
#include <chrono>

#include <fmt/format.h>

namespace {

// Reads from the store may be this old.
constexpr std::chrono::seconds kMaxReadAge(3);

} // namespace

std::string FormatServerRun(const server_run& aRun)
{
  return fmt::format("{}.{}", aRun.mUpstream.mName, aRun.mIncarnation);
}

std::optional<server_run> ParseServerRun(std::string_view aText)
{
  const auto dot = aText.rfind('.');
  if (dot == std::string_view::npos || dot == 0) {
    return std::nullopt;
  }
  server_run run{ upstream_id{ std::string(aText.substr(0, dot)) } };
  const char* const end = aText.data() + aText.size();
  const auto [parsed, error] =
    std::from_chars(aText.data() + dot + 1, end, run.mIncarnation);
  if (error != std::errc() || parsed != end) {
    return std::nullopt;
  }
  return run;
}

void server_liveness::OnServerEntry(const server_entry& aEntry, time_point aNow)
{
  life_signs& life = mServers[aEntry.mId];
  if (aEntry.mIncarnation < life.mIncarnation) {
    return;
  }
  if (aEntry.mIncarnation > life.mIncarnation) {
    life = { aEntry.mIncarnation, aEntry.mSequence, aNow, time_point() };
    return;
  }
  if (aEntry.mSequence <= life.mSequence) {
    return;
  }
  // The new entry was written after the one before it was read, which may have
  // been old by then. Its own reading proves nothing: after an outage it may be
  // the last one of a server that ended meanwhile.
  life.mAliveAt = std::max(life.mAliveAt, life.mReadAt - kMaxReadAge);
  life.mSequence = aEntry.mSequence;
  life.mReadAt = aNow;
}

bool server_liveness::WasAlive(const server_run& aRun, time_point aAt) const
{
  const auto life = mServers.find(aRun.mUpstream);
  return life != mServers.end() &&
         life->second.mIncarnation == aRun.mIncarnation &&
         aAt <= life->second.mAliveAt;
}

void server_liveness::Expire(time_point aReadBefore)
{
  std::erase_if(mServers, [aReadBefore](const auto& aPair) {
    return aPair.second.mReadAt < aReadBefore;
  });
}
