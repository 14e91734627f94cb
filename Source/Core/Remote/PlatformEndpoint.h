#pragma once

#include <chrono>
#include <string>

/// Status code without a constant in libsoup 3.2.
inline constexpr unsigned kHttpTooManyRequests = 429;

/// Address of a platform service and the timeout of calls to it.
struct platform_endpoint
{
  /// `IP:port`.
  std::string mAddress{};
  /// Timeout of each call.
  std::chrono::milliseconds mTimeout{ 2000 };

  std::string Url(const std::string& aPath) const
  {
    return "http://" + mAddress + aPath;
  }
};
