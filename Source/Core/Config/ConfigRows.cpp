#include "Config/ConfigRows.h"

#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "Common/Hash.h"

namespace {

using json = nlohmann::json;

// Zero-padded version numbers below 10^12 sort as text.
constexpr int kVersionDigits = 12;

/// Wraps the value, because `json` is implicitly constructible from the error
/// type and `result` would be ambiguous.
struct row_object
{
  json mValue;
};

/// Parses a row and checks its format number.
config_row_result<row_object> ReadRow(std::string_view aText)
{
  json row = json::parse(aText, nullptr, false);
  if (!row.is_object() || !row.contains("format") ||
      !row["format"].is_number_unsigned()) {
    return config_row_error::Malformed;
  }
  if (row["format"].get<std::uint64_t>() > kConfigFormat) {
    return config_row_error::NewerFormat;
  }
  return row_object{ std::move(row) };
}

bool ReadNumber(const json& aRow, const char* aKey, std::uint64_t& aValue)
{
  const auto found = aRow.find(aKey);
  if (found == aRow.end() || !found->is_number_unsigned()) {
    return false;
  }
  aValue = found->get<std::uint64_t>();
  return true;
}

bool ReadText(const json& aRow, const char* aKey, std::string& aValue)
{
  const auto found = aRow.find(aKey);
  if (found == aRow.end() || !found->is_string()) {
    return false;
  }
  aValue = found->get<std::string>();
  return true;
}

bool ReadDigest(const json& aRow, std::uint64_t& aValue)
{
  std::string text;
  if (!ReadText(aRow, "digest", text)) {
    return false;
  }
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, aValue, 16);
  return read.ec == std::errc() && read.ptr == end;
}

std::string DigestText(std::uint64_t aDigest)
{
  return fmt::format("{:016x}", aDigest);
}

// Comments in a section may contain bytes that are not UTF-8. They are
// replaced, because the serializer would throw otherwise.
std::string Dump(const json& aRow)
{
  return aRow.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string ConfigChangeKey(std::uint64_t aVersion)
{
  return fmt::format("{}{:0{}}", kConfigChangePrefix, aVersion, kVersionDigits);
}

std::string ConfigSectionKey(std::string_view aName)
{
  return fmt::format("{}{}", kConfigSectionPrefix, aName);
}

std::string WriteConfigHead(const config_head& aHead)
{
  return Dump({ { "format", kConfigFormat },
                { "version", aHead.mVersion },
                { "digest", DigestText(aHead.mDigest) } });
}

std::string WriteConfigChange(const config_change& aChange)
{
  return Dump({ { "format", kConfigFormat },
                { "version", aChange.mVersion },
                { "section", aChange.mSection },
                { "previous", aChange.mPrevious },
                { "removed", aChange.mRemoved },
                { "digest", DigestText(aChange.mDigest) },
                { "operator", aChange.mOperator },
                { "note", aChange.mNote },
                { "at_us", aChange.mAt.time_since_epoch().count() } });
}

std::string WriteConfigSection(const config_section& aSection)
{
  json row = { { "format", kConfigFormat },
               { "name", aSection.mName },
               { "version", aSection.mVersion } };
  if (aSection.mText) {
    row["text"] = *aSection.mText;
  }
  return Dump(row);
}

config_row_result<config_head> ReadConfigHead(std::string_view aText)
{
  const auto row = ReadRow(aText);
  if (row.has_error()) {
    return row.error();
  }
  config_head head;
  if (!ReadNumber(row.value().mValue, "version", head.mVersion) ||
      !ReadDigest(row.value().mValue, head.mDigest)) {
    return config_row_error::Malformed;
  }
  return head;
}

config_row_result<config_change> ReadConfigChange(std::string_view aText)
{
  const auto row = ReadRow(aText);
  if (row.has_error()) {
    return row.error();
  }
  const json& value = row.value().mValue;
  config_change change;
  if (!ReadNumber(value, "version", change.mVersion) ||
      !ReadText(value, "section", change.mSection) ||
      !ReadNumber(value, "previous", change.mPrevious) ||
      !ReadDigest(value, change.mDigest)) {
    return config_row_error::Malformed;
  }
  change.mRemoved = value.value("removed", json(false)) == json(true);
  ReadText(value, "operator", change.mOperator);
  ReadText(value, "note", change.mNote);
  std::uint64_t at = 0;
  ReadNumber(value, "at_us", at);
  change.mAt = wall_time(std::chrono::microseconds(at));
  return change;
}

config_row_result<config_section> ReadConfigSection(std::string_view aText)
{
  const auto row = ReadRow(aText);
  if (row.has_error()) {
    return row.error();
  }
  config_section section;
  if (!ReadText(row.value().mValue, "name", section.mName) ||
      !ReadNumber(row.value().mValue, "version", section.mVersion)) {
    return config_row_error::Malformed;
  }
  std::string text;
  if (ReadText(row.value().mValue, "text", text)) {
    section.mText = std::move(text);
  }
  return section;
}

std::uint64_t SectionDigest(std::string_view aName, std::uint64_t aVersion)
{
  return aVersion == 0 ? 0 : StableHash(aName, aVersion);
}
