#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Identifies a state of a row over all eras of the store: versions are given
/// out again when the store comes back from an older copy.
struct row_state
{
  /// Era in which the row was written; 0 if not known.
  std::uint64_t mEra = 0;
  std::uint64_t mVersion = 0;
  auto operator<=>(const row_state&) const = default;
};

/// Identifies a change of a row.
struct grant_change_id
{
  std::string mWriter;
  std::uint64_t mSequence = 0;
  auto operator<=>(const grant_change_id&) const = default;
};

/// Stored row of an account: the tokens granted to all nodes so far. Writer and
/// sequence, and those of the changes before, let a node whose reply was lost
/// see whether its own change was applied.
struct grant_row
{
  /// Earlier changes that a row names.
  static constexpr std::size_t kMaxEarlierChanges = 8;

  std::int64_t mGranted = 0;
  std::string mWriter;
  std::uint64_t mSequence = 0;
  /// Era of the store in which the row was written; 0 if not known. A row of an
  /// earlier era is as it was in the copy from which the store came back.
  std::uint64_t mEra = 0;
  /// Newest state of the row in earlier eras that `mGranted` accounts for, and
  /// the tokens granted by then.
  row_state mCopy{};
  std::int64_t mCopyGranted = 0;
  /// Tokens that may have been granted after the copy was taken and that no
  /// node has stated; they are not granted again.
  std::int64_t mReserved = 0;
  /// Clock of the store from which on tokens are granted in this era.
  std::chrono::milliseconds mSettlesAt{ 0 };
  /// Tokens granted lately, those of 20 s ago with a weight of 1 / e, at the
  /// time `mRateAt` of the store.
  std::int64_t mRecent = 0;
  std::chrono::milliseconds mRateAt{ 0 };
  /// Nodes that drew tokens in the current and in the previous period, one bit
  /// of the hash of each, and when the current one ends by the store's clock.
  std::uint64_t mDrawers = 0;
  std::uint64_t mEarlierDrawers = 0;
  std::chrono::milliseconds mDrawersUntil{ 0 };
  /// The changes before that of the writer, newest first.
  std::vector<grant_change_id> mEarlierChanges{};
  auto operator<=>(const grant_row&) const = default;

  /// Whether the row tells that the change was applied.
  bool Contains(const grant_change_id& aChange) const;
  /// Names a change as the newest one.
  void SetWriter(const grant_change_id& aChange);
};

/// Records that a node draws tokens at this time of the store.
void RecordDrawer(grant_row& aRow,
                  const std::string& aRun,
                  std::chrono::milliseconds aStoreTime);
/// Estimates how many nodes draw tokens of the account (linear counting, Whang
/// et al. 1990). With more than about 180 nodes it is too low.
std::size_t CountDrawers(const grant_row& aRow);

std::string WriteGrantRow(const grant_row& aRow);
std::optional<grant_row> ParseGrantRow(std::string_view aText);
