#pragma once

#include <chrono>

/// Age of the oldest copy from which the store may come back. What happened
/// longer ago is in every copy.
inline constexpr std::chrono::milliseconds kMaxStoreCopyAge(20'000);
