#include "Gateway/ServerRateLimits.h"

#include <algorithm>
#include <utility>

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
  return Record(aStatement);
}

bool server_rate_limits::Record(const rate_limit_statement& aStatement)
{
  rate_limit_statement& known = mStatements[aStatement.mServer];
  if (std::pair(aStatement.mIncarnation, aStatement.mStatedAt) <
      std::pair(known.mIncarnation, known.mStatedAt)) {
    return false;
  }
  const bool changed =
    known.mRequestsPerSecond != aStatement.mRequestsPerSecond;
  known = aStatement;
  return changed;
}

std::optional<rate_limit_statement> server_rate_limits::Find(
  std::uint32_t aServer) const
{
  const auto found = mStatements.find(aServer);
  if (found == mStatements.end() || !found->second.mRequestsPerSecond) {
    return std::nullopt;
  }
  return found->second;
}

std::size_t server_rate_limits::LimitedCount() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mStatements, [](const auto& aPair) {
      return aPair.second.mRequestsPerSecond.has_value();
    }));
}
