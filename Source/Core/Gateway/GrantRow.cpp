#include "Gateway/GrantRow.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "Common/JsonText.h"

std::string WriteGrantRow(const grant_row& aRow)
{
  const nlohmann::json json = { { "granted", aRow.mGranted },
                                { "writer", aRow.mWriter },
                                { "sequence", aRow.mSequence },
                                { "era", aRow.mEra },
                                { "copy_era", aRow.mCopy.mEra },
                                { "copy_version", aRow.mCopy.mVersion },
                                { "copy_granted", aRow.mCopyGranted },
                                { "reserved", aRow.mReserved },
                                { "settles_at_ms", aRow.mSettlesAt.count() },
                                { "recent", aRow.mRecent },
                                { "recent_at_ms", aRow.mRateAt.count() } };
  return json.dump();
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
  return row;
}
