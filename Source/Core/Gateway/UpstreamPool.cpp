#include "Gateway/UpstreamPool.h"

#include <algorithm>
#include <utility>

std::unique_ptr<http_client_connection> upstream_pool::Acquire(
  const tcp_address& aAddress,
  std::string_view aRequestId,
  time_point aNow)
{
  auto connection = TakeIdle(aAddress, aRequestId, aNow);
  if (!connection) {
    ++mOpened;
    connection = std::make_unique<http_client_connection>(aAddress, mLiveness);
  }
  connection->RecordRequest(aRequestId);
  return connection;
}

std::unique_ptr<http_client_connection> upstream_pool::TakeIdle(
  const tcp_address& aAddress,
  std::string_view aRequestId,
  time_point aNow)
{
  const auto found = mIdle.find(aAddress);
  if (found == mIdle.end()) {
    return nullptr;
  }
  // Newest first, because it is the least likely to be closed by the server.
  auto& idle = found->second;
  for (auto entry = idle.end(); entry != idle.begin();) {
    --entry;
    if (aNow >= entry->mUntil || entry->mConnection->Closed()) {
      entry = idle.erase(entry);
    } else if (!entry->mConnection->IsAmbiguousFor(aRequestId)) {
      auto connection = std::move(entry->mConnection);
      idle.erase(entry);
      return connection;
    }
  }
  return nullptr;
}

void upstream_pool::Release(std::unique_ptr<http_client_connection> aConnection,
                            time_point aUntil,
                            std::size_t aMaxIdle)
{
  auto& idle = mIdle[aConnection->Address()];
  if (idle.size() < aMaxIdle) {
    idle.push_back({ std::move(aConnection), aUntil });
  }
}

bool upstream_pool::HasIdle(const tcp_address& aAddress) const
{
  const auto found = mIdle.find(aAddress);
  return found != mIdle.end() &&
         std::ranges::any_of(found->second, [](const idle_connection& aIdle) {
           return !aIdle.mConnection->Closed();
         });
}

void upstream_pool::Expire(time_point aNow)
{
  for (auto& [address, connections] : mIdle) {
    std::erase_if(connections, [aNow](const idle_connection& aIdle) {
      return aNow >= aIdle.mUntil || aIdle.mConnection->Closed();
    });
  }
  std::erase_if(mIdle, [](const auto& aPair) { return aPair.second.empty(); });
}
