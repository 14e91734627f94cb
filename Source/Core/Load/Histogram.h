#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>

/// Counts of durations in logarithmic buckets: 32 buckets for each doubling,
/// so a percentile is at most 1/32 above the exact value. Fixed size, whatever
/// the number of values.
class latency_histogram
{
public:
  void Add(std::chrono::microseconds aValue);
  /// Adds all values of another histogram.
  void Merge(const latency_histogram& aOther);

  std::uint64_t Count() const { return mCount; }
  std::chrono::microseconds Most() const { return mMost; }
  std::chrono::microseconds Mean() const;
  /// Upper bound of the bucket that holds the percentile, at most `Most()`; 0
  /// without values. `aShare` is 0 to 1.
  std::chrono::microseconds Percentile(double aShare) const;

  bool operator==(const latency_histogram&) const = default;

private:
  static constexpr unsigned kSubBits = 5;
  static constexpr std::size_t kSubBuckets = std::size_t{ 1 } << kSubBits;
  // Values of 2^40 us, 12 days, and above share the last bucket.
  static constexpr unsigned kMaxBits = 40;
  static constexpr std::size_t kBuckets =
    (kMaxBits - kSubBits + 1) * kSubBuckets;

  static std::size_t IndexOf(std::uint64_t aValue);
  static std::uint64_t UpperBound(std::size_t aIndex);

  std::array<std::uint64_t, kBuckets> mBuckets{};
  std::uint64_t mCount = 0;
  std::uint64_t mSum = 0;
  std::chrono::microseconds mMost{ 0 };
};
