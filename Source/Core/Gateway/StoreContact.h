#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>

/// What a run states of its contact to the store. All times are of the store's
/// clock, so that statements of different nodes, and claims, can be compared.
struct store_contact
{
  /// When this was stated; 0 if the run does not know the store's clock.
  std::chrono::milliseconds mStatedAt{ 0 };
  /// Since when the run has not stated that the store is lost; 0 if it does so
  /// now.
  std::chrono::milliseconds mSince{ 0 };
  auto operator<=>(const store_contact&) const = default;

  bool IsStated() const { return mStatedAt.count() > 0; }
  bool IsLost() const { return IsStated() && mSince.count() == 0; }
};

/// Latest statements by run.
using store_contacts = std::map<std::uint64_t, store_contact>;

/// Makes the statements of one run. The time of a statement is later than that
/// of all earlier ones, so `mSince` tells of all that were made until then.
class store_contact_record
{
public:
  /// `aClock` is the store's clock, by estimate.
  store_contact State(bool aIsLost,
                      const std::optional<std::chrono::milliseconds>& aClock);

private:
  store_contact mLatest;
};
