#pragma once

#include <chrono>
#include <string>

/// Status that libsoup 3.2 has no name for.
inline constexpr unsigned kHttpTooManyRequests = 429;

/// Where a service of the platform listens.
struct platform_endpoint
{
  /// `IP:port`.
  std::string mAddress{};
  /// Limit for each call.
  std::chrono::milliseconds mTimeout{ 2000 };

  std::string Url(const std::string& aPath) const
  {
    return "http://" + mAddress + aPath;
  }
};
