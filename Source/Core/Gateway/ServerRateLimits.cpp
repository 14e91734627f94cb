#include "Gateway/ServerRateLimits.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include <fmt/format.h>

#include "Common/Hash.h"

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// A node may send ahead of its rate by this time and one request, so that
// requests that arrive unevenly do not lose the rate.
constexpr milliseconds kBurstTolerance(250);
// A limit is divided among at most this many nodes more than the requests a
// second that it allows. Each of them may save up one request, so that more
// nodes could send a burst that exceeds the limit by far.
constexpr double kExtraNodes = 2.0;
// Lowest rate in requests a second: a server that takes none at all is asked
// now and then whether it still does.
constexpr double kMinRate = 0.5;
// Statements are reported to other nodes for this long; a node misses several
// reports in a row only when it is out of contact.
constexpr milliseconds kReportTime(5000);

/// Time between two requests at a rate above 0, in requests a second.
microseconds Interval(double aRate)
{
  return std::chrono::duration_cast<microseconds>(
    std::chrono::duration<double>(1.0 / aRate));
}

} // namespace

std::string FormatRate(const std::optional<double>& aRequestsPerSecond)
{
  return aRequestsPerSecond ? fmt::format("{}", *aRequestsPerSecond) : "none";
}

bool server_rate_limits::OnResponse(const rate_limit_statement& aStatement,
                                    time_point aSentAt)
{
  if (!aStatement.mRequestsPerSecond) {
    const auto known = Find(aStatement.mServer);
    if (!known || (known->mIncarnation == aStatement.mIncarnation &&
                   aSentAt <= known->mStatedAt)) {
      return false;
    }
  }
  return Record(aStatement, true, aStatement.mStatedAt);
}

bool server_rate_limits::OnPeerStatement(const rate_limit_statement& aStatement,
                                         time_point aNow)
{
  if (!aStatement.mRequestsPerSecond && !Find(aStatement.mServer)) {
    return false;
  }
  return Record(aStatement, false, aNow);
}

bool server_rate_limits::Record(const rate_limit_statement& aStatement,
                                bool aReceivedHere,
                                time_point aNow)
{
  limited_server& server = mServers[aStatement.mServer];
  const rate_limit_statement known = server.mStatement;
  if (std::pair(aStatement.mIncarnation, aStatement.mStatedAt) <=
      std::pair(known.mIncarnation, known.mStatedAt)) {
    return false;
  }
  server.mStatement = aStatement;
  server.mReceivedHere = aReceivedHere;
  if (known.mRequestsPerSecond == aStatement.mRequestsPerSecond) {
    return false;
  }
  if (!known.mRequestsPerSecond) {
    server.mOwnRate = 0.0;
  }
  Divide(server, aNow);
  return true;
}

void server_rate_limits::Divide(limited_server& aServer, time_point aNow) const
{
  if (IsCold(aServer, aNow)) {
    DivideCold(aServer, aNow);
    return;
  }
  if (!aServer.mStatement.mRequestsPerSecond) {
    return;
  }
  const double rate =
    std::max(*aServer.mStatement.mRequestsPerSecond, kMinRate);
  const std::string key = fmt::format("{:08x}", aServer.mStatement.mServer);
  const std::size_t ahead = RendezvousRank(key, mSelf, mPeers);
  const auto count = std::min(static_cast<double>(mPeers.size() + 1),
                              std::floor(rate + kExtraNodes));
  const double before = std::exchange(
    aServer.mOwnRate, static_cast<double>(ahead) < count ? rate / count : 0.0);
  if (aServer.mOwnRate == 0.0) {
    return;
  }
  // A node that gets a part of the limit has saved up nothing.
  const time_point latest = aNow + Interval(aServer.mOwnRate) + kBurstTolerance;
  aServer.mNextSendAt =
    before == 0.0 ? latest : std::min(aServer.mNextSendAt, latest);
}

void server_rate_limits::OnServerStart(std::uint32_t aServer,
                                       std::uint64_t aIncarnation)
{
  const auto found = mServers.find(aServer);
  if (found != mServers.end() &&
      found->second.mStatement.mIncarnation < aIncarnation) {
    mServers.erase(found);
  }
}

void server_rate_limits::SetNodes(const std::string& aSelf,
                                  std::vector<std::string> aPeers,
                                  time_point aNow)
{
  const bool samePeers = aSelf == mSelf && aPeers == mPeers;
  mSelf = aSelf;
  mPeers = std::move(aPeers);
  ExpireCold(aNow);
  if (!UpdatePossibleNodes(aNow) && samePeers) {
    return;
  }
  for (auto& [key, server] : mServers) {
    Divide(server, aNow);
  }
}

bool server_rate_limits::MaySend(std::uint32_t aServer, time_point aNow) const
{
  return MaySendFrom(aServer) <= aNow;
}

time_point server_rate_limits::MaySendFrom(std::uint32_t aServer) const
{
  const auto found = mServers.find(aServer);
  if (found == mServers.end()) {
    return time_point();
  }
  const limited_server& server = found->second;
  if (server.mCold) {
    return MaySendColdFrom(server);
  }
  if (!server.mStatement.mRequestsPerSecond) {
    return time_point();
  }
  return server.mOwnRate == 0.0 ? time_point::max()
                                : server.mNextSendAt - kBurstTolerance;
}

void server_rate_limits::OnSend(std::uint32_t aServer, time_point aNow)
{
  const auto found = mServers.find(aServer);
  if (found != mServers.end() && found->second.mOwnRate > 0.0) {
    limited_server& server = found->second;
    server.mNextSendAt =
      std::max(server.mNextSendAt, aNow) + Interval(server.mOwnRate);
  }
}

std::optional<rate_limit_statement> server_rate_limits::Find(
  std::uint32_t aServer) const
{
  const auto found = mServers.find(aServer);
  if (found == mServers.end() || !found->second.mStatement.mRequestsPerSecond) {
    return std::nullopt;
  }
  return found->second.mStatement;
}

double server_rate_limits::OwnRate(std::uint32_t aServer) const
{
  const auto found = mServers.find(aServer);
  return found == mServers.end() ? 0.0 : found->second.mOwnRate;
}

std::size_t server_rate_limits::LimitedCount() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mServers, [](const auto& aPair) {
      return aPair.second.mStatement.mRequestsPerSecond.has_value();
    }));
}

std::vector<rate_limit_statement> server_rate_limits::OwnStatements(
  time_point aNow) const
{
  std::vector<rate_limit_statement> statements;
  for (const auto& [key, server] : mServers) {
    if (server.mReceivedHere &&
        aNow < server.mStatement.mStatedAt + kReportTime) {
      statements.push_back(server.mStatement);
    }
  }
  return statements;
}
