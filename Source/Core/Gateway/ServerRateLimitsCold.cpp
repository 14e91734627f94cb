// Parts of `server_rate_limits` that limit cold servers.
//
// The bound of a cold server holds for any second, whereas that of a stated
// limit holds for 4 s. A part may therefore not be used ahead, and it is
// divided among all nodes that may be running, not only those that were heard
// of within the last second.

#include "Gateway/ServerRateLimits.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include <fmt/format.h>

#include "Common/Hash.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Share of the allowed requests of a second that the owners of a limit may send
// together. The rest covers nodes that disagree on who runs, and requests that
// arrive closer together than they were sent.
constexpr double kColdShare = 0.6;
// Lowest rate in requests a second, as for stated limits.
constexpr double kMinColdRate = 0.5;
// A limit is divided among at most this many nodes more than the requests a
// second that it allows, as for stated limits.
constexpr double kExtraNodes = 2.0;
// Time in which a node that starts hears of the others: reports are sent each
// 200 ms. It covers the second in which an earlier run of the node may have
// used its part.
constexpr milliseconds kStartTime(1500);
// A node that is cut off from its peers may still send to servers. Cuts of 12 s
// were observed.
constexpr seconds kPossibleTime(30);
// The same for a node that hears of less than half of the nodes, and is more
// likely cut off than left over. It is the longest cold time that a server may
// state.
constexpr seconds kMinorityTime(600);
// Limit of the addresses that are assumed to run nodes. Live nodes are kept
// beyond it.
constexpr std::size_t kMaxSeenNodes = 4096;

/// Requests that `aOwners` nodes send at most in any second if each keeps to
/// its equal part of the rate.
double MostInSecond(double aRate, double aOwners)
{
  return aOwners * std::ceil(aRate / aOwners);
}

/// Number of nodes that have a part of the limit: as many as the share of the
/// allowed requests permits.
double OwnerCount(double aRate, double aAllowed, std::size_t aNodes)
{
  const double most = std::min(static_cast<double>(aNodes),
                               std::max(1.0, std::floor(aRate + kExtraNodes)));
  const double permitted = std::max(kColdShare * aAllowed, std::ceil(aRate));
  double owners = most;
  while (owners > 1.0 && MostInSecond(aRate, owners) > permitted) {
    owners -= 1.0;
  }
  return owners;
}

} // namespace

bool server_rate_limits::IsCold(const limited_server& aServer, time_point aNow)
{
  return aServer.mCold && aNow < aServer.mCold->mUntil;
}

bool server_rate_limits::IsCold(std::uint32_t aServer, time_point aNow) const
{
  const auto found = mServers.find(aServer);
  return found != mServers.end() && IsCold(found->second, aNow);
}

std::size_t server_rate_limits::ColdCount(time_point aNow) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mServers, [aNow](const auto& aPair) {
      return IsCold(aPair.second, aNow);
    }));
}

std::optional<cold_limit> server_rate_limits::FindCold(
  std::uint32_t aServer) const
{
  const auto found = mServers.find(aServer);
  return found == mServers.end() ? std::nullopt : found->second.mCold;
}

bool server_rate_limits::SetCold(const cold_limit& aLimit, time_point aNow)
{
  limited_server& server = mServers[aLimit.mServer];
  server.mStatement.mServer = aLimit.mServer;
  const bool known = IsCold(server, aNow);
  const bool sameRate =
    known && server.mCold->mRequestsPerSecond == aLimit.mRequestsPerSecond;
  if (!known && !server.mStatement.mRequestsPerSecond) {
    server.mOwnRate = 0.0;
  }
  server.mCold = aLimit;
  if (!sameRate) {
    Divide(server, aNow);
  }
  return !known;
}

void server_rate_limits::EndCold(std::uint32_t aServer, time_point aNow)
{
  const auto found = mServers.find(aServer);
  if (found != mServers.end() && found->second.mCold) {
    found->second.mCold->mUntil = aNow;
    ExpireCold(aNow);
  }
}

void server_rate_limits::ExpireCold(time_point aNow)
{
  for (auto& [key, server] : mServers) {
    if (server.mCold && !IsCold(server, aNow)) {
      server.mCold.reset();
      Divide(server, aNow);
    }
  }
  // Entries without any statement of the server are no longer needed.
  std::erase_if(mServers, [](const auto& aPair) {
    const limited_server& server = aPair.second;
    return !server.mCold && server.mStatement.mStatedAt == time_point();
  });
}

void server_rate_limits::DivideCold(limited_server& aServer,
                                    time_point aNow) const
{
  const double cold = aServer.mCold->mRequestsPerSecond;
  const double allowed =
    std::floor(cold * mColdBound.mFactor + mColdBound.mSlack);
  double rate = std::min(cold, allowed);
  if (aServer.mStatement.mRequestsPerSecond) {
    rate = std::min(rate, *aServer.mStatement.mRequestsPerSecond);
  }
  rate = std::max(rate, kMinColdRate);
  const double owners = OwnerCount(rate, allowed, mPossiblePeers.size() + 1);
  const std::size_t ahead = RendezvousRank(
    fmt::format("{:08x}", aServer.mStatement.mServer), mSelf, mPossiblePeers);
  const double before =
    std::exchange(aServer.mOwnRate,
                  static_cast<double>(ahead) < owners ? rate / owners : 0.0);
  if (aServer.mOwnRate == 0.0) {
    return;
  }
  // A node that gets a part of the limit has saved up nothing.
  const time_point latest =
    aNow + std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::duration<double>(1.0 / aServer.mOwnRate));
  aServer.mNextSendAt =
    before == 0.0 ? latest : std::min(aServer.mNextSendAt, latest);
}

time_point server_rate_limits::MaySendColdFrom(
  const limited_server& aServer) const
{
  if (aServer.mOwnRate == 0.0 || !mStartedAt) {
    return aServer.mStatement.mRequestsPerSecond ? time_point::max()
                                                 : aServer.mCold->mUntil;
  }
  const time_point from =
    std::max(aServer.mNextSendAt, *mStartedAt + kStartTime);
  return aServer.mStatement.mRequestsPerSecond
           ? from
           : std::min(from, aServer.mCold->mUntil);
}

void server_rate_limits::AddPossibleNodes(
  const std::vector<std::string>& aNodes,
  time_point aNow)
{
  for (const std::string& node : aNodes) {
    if (mSeenAt.size() < kMaxSeenNodes) {
      mSeenAt.emplace(node, aNow);
    }
  }
}

bool server_rate_limits::UpdatePossibleNodes(time_point aNow)
{
  if (!mStartedAt) {
    mStartedAt = aNow;
  }
  for (const std::string& peer : mPeers) {
    mSeenAt[peer] = aNow;
  }
  const auto seenWithin = [&](seconds aTime) {
    std::vector<std::string> nodes;
    for (const auto& [node, seenAt] : mSeenAt) {
      if (aNow <= seenAt + aTime && node != mSelf) {
        nodes.push_back(node);
      }
    }
    return nodes;
  };
  std::vector<std::string> possible = seenWithin(kMinorityTime);
  if (mPeers.size() * 2 >= possible.size()) {
    possible = seenWithin(kPossibleTime);
  }
  const bool changed = possible != mPossiblePeers;
  mPossiblePeers = std::move(possible);
  return changed;
}
