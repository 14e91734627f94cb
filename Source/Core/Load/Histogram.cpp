#include "Load/Histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

using std::chrono::microseconds;

void latency_histogram::Add(microseconds aValue)
{
  const auto value =
    static_cast<std::uint64_t>(std::max<microseconds::rep>(aValue.count(), 0));
  ++mBuckets[IndexOf(value)];
  ++mCount;
  mSum += value;
  mMost = std::max(mMost, microseconds(value));
}

void latency_histogram::Merge(const latency_histogram& aOther)
{
  for (std::size_t i = 0; i < kBuckets; ++i) {
    mBuckets[i] += aOther.mBuckets[i];
  }
  mCount += aOther.mCount;
  mSum += aOther.mSum;
  mMost = std::max(mMost, aOther.mMost);
}

microseconds latency_histogram::Mean() const
{
  return microseconds(mCount == 0 ? 0 : mSum / mCount);
}

microseconds latency_histogram::Percentile(double aShare) const
{
  if (mCount == 0) {
    return microseconds(0);
  }
  const double exact = std::ceil(aShare * static_cast<double>(mCount));
  const auto rank =
    std::clamp<std::uint64_t>(static_cast<std::uint64_t>(exact), 1, mCount);
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    seen += mBuckets[i];
    // The last bucket has no upper bound.
    if (seen >= rank && i + 1 < kBuckets) {
      return std::min(microseconds(UpperBound(i)), mMost);
    }
  }
  return mMost;
}

std::size_t latency_histogram::IndexOf(std::uint64_t aValue)
{
  // Below 2^kSubBits every value has a bucket of its own.
  if (aValue < kSubBuckets) {
    return aValue;
  }
  const unsigned bits = std::bit_width(aValue) - 1;
  if (bits >= kMaxBits) {
    return kBuckets - 1;
  }
  const unsigned shift = bits - kSubBits;
  const std::size_t sub = (aValue >> shift) - kSubBuckets;
  return (shift + 1) * kSubBuckets + sub;
}

std::uint64_t latency_histogram::UpperBound(std::size_t aIndex)
{
  if (aIndex < kSubBuckets) {
    return aIndex;
  }
  const std::size_t shift = aIndex / kSubBuckets - 1;
  const std::size_t sub = aIndex % kSubBuckets;
  return ((kSubBuckets + sub + 1) << shift) - 1;
}
