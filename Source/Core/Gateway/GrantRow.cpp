#include "Gateway/GrantRow.h"

#include <algorithm>
#include <bit>
#include <cmath>

#include <nlohmann/json.hpp>

#include "Common/Hash.h"
#include "Common/JsonText.h"

namespace {

// Bits of a set of nodes; numbers in rows have at most 53.
constexpr int kDrawerBits = 48;
// Period in which a node with demand draws at least once.
constexpr std::chrono::milliseconds kDrawerPeriod(8000);

} // namespace

void RecordDrawer(grant_row& aRow,
                  const std::string& aRun,
                  std::chrono::milliseconds aStoreTime)
{
  if (aStoreTime >= aRow.mDrawersUntil) {
    const bool adjacent = aStoreTime < aRow.mDrawersUntil + kDrawerPeriod;
    aRow.mEarlierDrawers = adjacent ? aRow.mDrawers : 0;
    aRow.mDrawers = 0;
    aRow.mDrawersUntil = aStoreTime + kDrawerPeriod;
  }
  aRow.mDrawers |= std::uint64_t{ 1 } << (StableHash(aRun) % kDrawerBits);
}

std::size_t CountDrawers(const grant_row& aRow)
{
  const int used = std::popcount(aRow.mDrawers | aRow.mEarlierDrawers);
  const int unused = std::max(kDrawerBits - used, 1);
  return static_cast<std::size_t>(
    std::lround(kDrawerBits * std::log(static_cast<double>(kDrawerBits) /
                                       static_cast<double>(unused))));
}

std::string WriteGrantRow(const grant_row& aRow)
{
  nlohmann::json json = { { "granted", aRow.mGranted },
                          { "writer", aRow.mWriter },
                          { "sequence", aRow.mSequence },
                          { "era", aRow.mEra },
                          { "copy_era", aRow.mCopy.mEra },
                          { "copy_version", aRow.mCopy.mVersion },
                          { "copy_granted", aRow.mCopyGranted },
                          { "reserved", aRow.mReserved },
                          { "settles_at_ms", aRow.mSettlesAt.count() },
                          { "recent", aRow.mRecent },
                          { "recent_at_ms", aRow.mRateAt.count() },
                          { "drawers", aRow.mDrawers },
                          { "earlier_drawers", aRow.mEarlierDrawers },
                          { "drawers_until_ms", aRow.mDrawersUntil.count() } };
  if (!aRow.mEarlierChanges.empty()) {
    auto& changes = json["earlier_changes"] = nlohmann::json::array();
    for (const grant_change_id& change : aRow.mEarlierChanges) {
      changes.push_back({ change.mWriter, change.mSequence });
    }
  }
  return json.dump();
}

bool grant_row::Contains(const grant_change_id& aChange) const
{
  return aChange == grant_change_id{ mWriter, mSequence } ||
         std::ranges::find(mEarlierChanges, aChange) != mEarlierChanges.end();
}

void grant_row::SetWriter(const grant_change_id& aChange)
{
  if (!mWriter.empty()) {
    mEarlierChanges.insert(mEarlierChanges.begin(), { mWriter, mSequence });
    if (mEarlierChanges.size() > kMaxEarlierChanges) {
      mEarlierChanges.resize(kMaxEarlierChanges);
    }
  }
  mWriter = aChange.mWriter;
  mSequence = aChange.mSequence;
}

std::optional<grant_row> ParseGrantRow(std::string_view aText)
{
  const auto body = ParseBoundedJson(aText);
  if (!body || !body->is_object()) {
    return std::nullopt;
  }
  constexpr std::int64_t kMin = -kMaxWholeNumber;
  const auto granted = body->find("granted");
  const auto writer = body->find("writer");
  const auto sequence = body->find("sequence");
  if (granted == body->end() || !ReadWholeNumber(*granted, kMin) ||
      writer == body->end() || !writer->is_string() ||
      sequence == body->end() || !ReadWholeNumber(*sequence)) {
    return std::nullopt;
  }
  // Rows of versions that know no eras lack the other fields.
  const auto optional = [&body](const char* aName) {
    const auto found = body->find(aName);
    return found == body->end() ? std::int64_t{ 0 }
                                : ReadWholeNumber(*found, kMin).value_or(0);
  };
  grant_row row;
  row.mGranted = granted->get<std::int64_t>();
  row.mWriter = writer->get<std::string>();
  row.mSequence = sequence->get<std::uint64_t>();
  const auto count = [&optional](const char* aName) {
    return static_cast<std::uint64_t>(
      std::max<std::int64_t>(optional(aName), 0));
  };
  row.mEra = count("era");
  row.mCopy = { count("copy_era"), count("copy_version") };
  row.mCopyGranted = optional("copy_granted");
  row.mReserved = std::max<std::int64_t>(optional("reserved"), 0);
  row.mSettlesAt = std::chrono::milliseconds(optional("settles_at_ms"));
  row.mRecent = std::max<std::int64_t>(optional("recent"), 0);
  row.mRateAt = std::chrono::milliseconds(optional("recent_at_ms"));
  row.mDrawers = count("drawers");
  row.mEarlierDrawers = count("earlier_drawers");
  row.mDrawersUntil = std::chrono::milliseconds(optional("drawers_until_ms"));
  const auto changes = body->find("earlier_changes");
  if (changes != body->end() && changes->is_array()) {
    for (const nlohmann::json& change : *changes) {
      if (row.mEarlierChanges.size() == grant_row::kMaxEarlierChanges ||
          !change.is_array() || change.size() != 2 || !change[0].is_string() ||
          !ReadWholeNumber(change[1])) {
        break;
      }
      row.mEarlierChanges.push_back(
        { change[0].get<std::string>(), change[1].get<std::uint64_t>() });
    }
  }
  return row;
}
