#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>

/// Map with copy-on-write buckets. A copy shares every bucket that neither side
/// has changed, so changing one of 9,800 accounts copies about 40 entries.
template<class Key, class Value>
class bucket_map
{
public:
  using bucket = std::map<Key, std::shared_ptr<const Value>>;

  std::shared_ptr<const Value> Find(const Key& aKey) const
  {
    const auto& slot = mBuckets[IndexOf(aKey)];
    if (slot == nullptr) {
      return nullptr;
    }
    const auto found = slot->find(aKey);
    return found == slot->end() ? nullptr : found->second;
  }

  /// Adds or replaces an entry.
  void Put(const Key& aKey, std::shared_ptr<const Value> aValue)
  {
    bucket& entries = WritableBucket(IndexOf(aKey));
    auto& slot = entries[aKey];
    mSize += slot == nullptr ? 1 : 0;
    slot = std::move(aValue);
  }

  void Remove(const Key& aKey)
  {
    if (Find(aKey) != nullptr) {
      WritableBucket(IndexOf(aKey)).erase(aKey);
      --mSize;
    }
  }

  std::size_t Size() const { return mSize; }

  /// Calls `aFunction(key, shared pointer)` for each entry, in unspecified
  /// order.
  template<class Function>
  void ForEach(Function aFunction) const
  {
    for (const auto& slot : mBuckets) {
      if (slot == nullptr) {
        continue;
      }
      for (const auto& [key, value] : *slot) {
        aFunction(key, value);
      }
    }
  }

  /// Equal when both hold equal values under the same keys.
  bool operator==(const bucket_map& aOther) const
  {
    for (std::size_t i = 0; i < kBucketCount; ++i) {
      if (!EqualBuckets(mBuckets[i], aOther.mBuckets[i])) {
        return false;
      }
    }
    return true;
  }

private:
  using bucket_pointer = std::shared_ptr<bucket>;
  static constexpr std::size_t kBucketCount = 256;

  static std::size_t IndexOf(const Key& aKey)
  {
    return std::hash<Key>()(aKey) % kBucketCount;
  }

  static bool EqualBuckets(const bucket_pointer& aLeft,
                           const bucket_pointer& aRight)
  {
    if (aLeft == aRight) {
      return true;
    }
    static const bucket sEmpty;
    const bucket& left = aLeft == nullptr ? sEmpty : *aLeft;
    const bucket& right = aRight == nullptr ? sEmpty : *aRight;
    if (left.size() != right.size()) {
      return false;
    }
    auto other = right.begin();
    for (const auto& [key, value] : left) {
      if (key != other->first || !(*value == *other->second)) {
        return false;
      }
      ++other;
    }
    return true;
  }

  bucket& WritableBucket(std::size_t aIndex)
  {
    bucket_pointer& slot = mBuckets[aIndex];
    // A bucket that no copy shares is changed in place, so that building a map
    // takes linear time.
    if (slot == nullptr) {
      slot = std::make_shared<bucket>();
    } else if (slot.use_count() > 1) {
      slot = std::make_shared<bucket>(*slot);
    }
    return *slot;
  }

  std::array<bucket_pointer, kBucketCount> mBuckets;
  std::size_t mSize = 0;
};
