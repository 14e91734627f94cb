#include "Budget/BudgetRows.h"

#include <array>
#include <optional>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace {

using json = nlohmann::json;

// Tokens. Far above any budget, and low enough that sums of a few amounts do
// not overflow a 64-bit integer.
constexpr std::int64_t kMaxAmount = std::int64_t(1) << 60;

// Elements of the JSON array that represents one charge.
constexpr std::size_t kChargeFields = 6;

constexpr std::array<std::string_view, 4> kStateNames = {
  "open",
  "closing",
  "closed",
  "written_off",
};

/// Parses the JSON text and checks the format version of the row.
std::optional<row_error> ParseVersioned(std::string_view aText, json& aValue)
{
  aValue = json::parse(aText, nullptr, false);
  if (!aValue.is_object() || !aValue.contains("format") ||
      !aValue["format"].is_number_integer()) {
    return row_error::Malformed;
  }
  const auto format = aValue["format"].get<std::int64_t>();
  if (format > kBudgetRowFormat) {
    return row_error::NewerFormat;
  }
  if (format < 1) {
    return row_error::Malformed;
  }
  return std::nullopt;
}

bool ReadAmount(const json& aValue, std::int64_t& aAmount)
{
  if (!aValue.is_number_integer()) {
    return false;
  }
  aAmount = aValue.get<std::int64_t>();
  return aAmount >= 0 && aAmount <= kMaxAmount;
}

bool ReadAmount(const json& aObject, const char* aName, std::int64_t& aAmount)
{
  return aObject.contains(aName) && ReadAmount(aObject[aName], aAmount);
}

bool ReadNumber(const json& aObject, const char* aName, std::uint64_t& aNumber)
{
  std::int64_t amount = 0;
  if (!ReadAmount(aObject, aName, amount)) {
    return false;
  }
  aNumber = static_cast<std::uint64_t>(amount);
  return true;
}

bool ReadOutstanding(const json& aObject, budget_row& aRow)
{
  if (!aObject.contains("outstanding") || !aObject["outstanding"].is_object()) {
    return false;
  }
  for (const auto& [name, value] : aObject["outstanding"].items()) {
    const auto holder = ParseIncarnation(name);
    std::int64_t amount = 0;
    if (!holder || !ReadAmount(value, amount)) {
      return false;
    }
    aRow.mOutstanding.emplace(*holder, amount);
  }
  return true;
}

bool IsConsistent(const budget_row& aRow)
{
  std::int64_t left = aRow.mTotal - aRow.mSpent;
  for (const auto& [holder, amount] : aRow.mOutstanding) {
    left -= amount;
    if (left < 0) {
      return false;
    }
  }
  return left >= 0 && aRow.mWindowSegment <= aRow.mNextSegment;
}

json FormatCharge(const charge& aCharge)
{
  return json::array({ FormatWide(aCharge.mRequest),
                       aCharge.mAccount.mName,
                       FormatIncarnation(aCharge.mHolder),
                       aCharge.mTokens,
                       aCharge.mAt.time_since_epoch().count(),
                       aCharge.mFromSegment });
}

std::optional<charge> ParseCharge(const json& aValue, const budget_id& aBudget)
{
  if (!aValue.is_array() || aValue.size() < kChargeFields ||
      !aValue[0].is_string() || !aValue[1].is_string() ||
      !aValue[2].is_string() || !aValue[4].is_number_integer() ||
      !aValue[5].is_number_integer()) {
    return std::nullopt;
  }
  const auto request =
    ParseWide<request_tag>(aValue[0].get_ref<const std::string&>());
  const auto holder = ParseIncarnation(aValue[2].get_ref<const std::string&>());
  charge parsed;
  if (!request || !holder || !ReadAmount(aValue[3], parsed.mTokens)) {
    return std::nullopt;
  }
  parsed.mRequest = *request;
  parsed.mAccount = { aValue[1].get<std::string>() };
  parsed.mBudget = aBudget;
  parsed.mHolder = *holder;
  parsed.mAt =
    wall_time(std::chrono::microseconds(aValue[4].get<std::int64_t>()));
  parsed.mFromSegment = aValue[5].get<std::uint64_t>();
  return parsed;
}

bool ReadHolders(const json& aObject,
                 const char* aName,
                 std::vector<incarnation_id>& aHolders)
{
  if (!aObject.contains(aName) || !aObject[aName].is_array()) {
    return false;
  }
  for (const json& value : aObject[aName]) {
    if (!value.is_string()) {
      return false;
    }
    const auto holder = ParseIncarnation(value.get_ref<const std::string&>());
    if (!holder) {
      return false;
    }
    aHolders.push_back(*holder);
  }
  return true;
}

std::optional<holder_state> ParseState(const json& aObject)
{
  if (!aObject.contains("state") || !aObject["state"].is_string()) {
    return std::nullopt;
  }
  const auto& name = aObject["state"].get_ref<const std::string&>();
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames[i] == name) {
      return static_cast<holder_state>(i);
    }
  }
  return std::nullopt;
}

} // namespace

std::int64_t budget_row::OutstandingSum() const
{
  std::int64_t sum = 0;
  for (const auto& [holder, amount] : mOutstanding) {
    sum += amount;
  }
  return sum;
}

std::string_view RowErrorName(row_error aError)
{
  switch (aError) {
    case row_error::Malformed:
      return "malformed";
    case row_error::NewerFormat:
      return "newer_format";
    case row_error::Inconsistent:
      return "inconsistent";
  }
  return "unknown";
}

std::string BudgetKey(const budget_id& aBudget)
{
  return "budget/" + aBudget.mName;
}

std::string SegmentPrefix(const budget_id& aBudget)
{
  return "charges/" + aBudget.mName + "/";
}

std::string SegmentKey(const budget_id& aBudget, std::uint64_t aSegment)
{
  // Zero-padded, so that the order of keys is the order of segment numbers.
  return fmt::format("charges/{}/{:012}", aBudget.mName, aSegment);
}

std::string HolderKey(const incarnation_id& aHolder)
{
  return std::string(kHolderPrefix) + FormatIncarnation(aHolder);
}

std::optional<incarnation_id> ParseHolderKey(std::string_view aKey)
{
  if (!aKey.starts_with(kHolderPrefix)) {
    return std::nullopt;
  }
  return ParseIncarnation(aKey.substr(kHolderPrefix.size()));
}

std::string GrantPrefix(const incarnation_id& aHolder)
{
  return "grant/" + FormatIncarnation(aHolder) + "/";
}

std::string GrantKey(const incarnation_id& aHolder, const budget_id& aBudget)
{
  return GrantPrefix(aHolder) + aBudget.mName;
}

std::string FormatBudgetRow(const budget_row& aRow)
{
  json outstanding = json::object();
  for (const auto& [holder, amount] : aRow.mOutstanding) {
    outstanding[FormatIncarnation(holder)] = amount;
  }
  const json value = { { "format", kBudgetRowFormat },
                       { "total", aRow.mTotal },
                       { "spent", aRow.mSpent },
                       { "next_segment", aRow.mNextSegment },
                       { "window_segment", aRow.mWindowSegment },
                       { "outstanding", std::move(outstanding) } };
  return value.dump();
}

result<budget_row, row_error> ParseBudgetRow(std::string_view aText)
{
  json object;
  if (const auto error = ParseVersioned(aText, object)) {
    return *error;
  }
  budget_row row;
  if (!ReadAmount(object, "total", row.mTotal) ||
      !ReadAmount(object, "spent", row.mSpent) ||
      !ReadNumber(object, "next_segment", row.mNextSegment) ||
      !ReadNumber(object, "window_segment", row.mWindowSegment) ||
      !ReadOutstanding(object, row)) {
    return row_error::Malformed;
  }
  if (!IsConsistent(row)) {
    return row_error::Inconsistent;
  }
  return row;
}

std::string FormatSegment(const charge_segment& aSegment)
{
  json charges = json::array();
  for (const charge& item : aSegment.mCharges) {
    charges.push_back(FormatCharge(item));
  }
  const json value = { { "format", kBudgetRowFormat },
                       { "charges", std::move(charges) } };
  return value.dump();
}

result<charge_segment, row_error> ParseSegment(std::string_view aText,
                                               const budget_id& aBudget)
{
  json object;
  if (const auto error = ParseVersioned(aText, object)) {
    return *error;
  }
  if (!object.contains("charges") || !object["charges"].is_array()) {
    return row_error::Malformed;
  }
  charge_segment segment;
  for (const json& item : object["charges"]) {
    auto parsed = ParseCharge(item, aBudget);
    if (!parsed) {
      return row_error::Malformed;
    }
    segment.mCharges.push_back(std::move(*parsed));
  }
  return segment;
}

std::string FormatHolderRow(const holder_row& aRow)
{
  json backups = json::array();
  for (const incarnation_id& backup : aRow.mBackups) {
    backups.push_back(FormatIncarnation(backup));
  }
  json sealed = json::array();
  for (const incarnation_id& backup : aRow.mSealed) {
    sealed.push_back(FormatIncarnation(backup));
  }
  const auto state = static_cast<std::size_t>(aRow.mState);
  const json value = { { "format", kBudgetRowFormat },
                       { "state", kStateNames[state] },
                       { "backups", std::move(backups) },
                       { "sealed", std::move(sealed) } };
  return value.dump();
}

result<holder_row, row_error> ParseHolderRow(std::string_view aText)
{
  json object;
  if (const auto error = ParseVersioned(aText, object)) {
    return *error;
  }
  const auto state = ParseState(object);
  holder_row row;
  std::vector<incarnation_id> sealed;
  if (!state || !ReadHolders(object, "backups", row.mBackups) ||
      !ReadHolders(object, "sealed", sealed)) {
    return row_error::Malformed;
  }
  row.mState = *state;
  row.mSealed.insert(sealed.begin(), sealed.end());
  return row;
}
