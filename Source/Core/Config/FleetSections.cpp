#include "Config/FleetSections.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>
#include <glib.h>

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view kBillingName = "billing";
constexpr std::string_view kCapacityName = "capacity";
constexpr std::string_view kBillingPrefix = "billing/";
constexpr std::string_view kAccountPrefix = "accounts/";

// The Read functions are called only on values that passed their schema.

price_table::map ReadPrices(const json& aGroup)
{
  price_table::map prices;
  for (const auto& item : aGroup.items()) {
    prices[{ item.key() }] = { item.value()["prompt"], item.value()["output"] };
  }
  return prices;
}

budget_entry ReadBudget(const std::string& aId,
                        const json& aGroup,
                        const price_table& aPrices)
{
  budget_entry budget;
  budget.mId = { aId };
  for (const json& account : aGroup["accounts"]) {
    budget.mAccounts.push_back({ account });
  }
  budget.mPrices = aPrices;
  price_table::map budgetPrices = ReadPrices(aGroup["prices"]);
  if (!budgetPrices.empty()) {
    budgetPrices.insert(aPrices.Entries().begin(), aPrices.Entries().end());
    budget.mPrices = price_table(std::move(budgetPrices));
  }
  return budget;
}

billing_section ReadBilling(const json& aValue)
{
  billing_section billing;
  const price_table prices(ReadPrices(aValue["prices"]));
  for (const auto& item : aValue["budgets"].items()) {
    billing.mBudgets.push_back(ReadBudget(item.key(), item.value(), prices));
  }
  return billing;
}

rank_policy ReadRank(const json& aGroup)
{
  return { aGroup["floor_share"],
           milliseconds(aGroup["first_token_ms"].get<std::int64_t>()),
           aGroup["queue_bound"] };
}

upstream_group ReadGroup(const std::string& aName, const json& aGroup)
{
  upstream_group group;
  group.mName = aName;
  group.mHosts = aGroup["hosts"].get<std::vector<std::string>>();
  for (const json& model : aGroup["models"]) {
    group.mModels.push_back({ model });
  }
  group.mChecksFencing = aGroup["checks_fencing"];
  group.mHonoursPriorities = aGroup["honours_priorities"];
  group.mResumesStreams = aGroup["resumes_streams"];
  return group;
}

service_settings ReadService(const std::string& aName, const json& aGroup)
{
  service_settings service{ { aName }, {} };
  for (const json& call : aGroup["not_repeatable"]) {
    service.mNotRepeatable.push_back({ call["method"], call["path"] });
  }
  return service;
}

capacity_section ReadCapacity(const json& aValue)
{
  capacity_section capacity;
  for (std::size_t i = 0; i < kWorkRankCount; ++i) {
    const std::string name(WorkRankName(static_cast<work_rank>(i)));
    capacity.mRanks[i] = ReadRank(aValue["ranks"][name]);
  }
  for (const auto& item : aValue["models"].items()) {
    const json& model = item.value();
    capacity.mModels[{ item.key() }] = { { item.key() },
                                         model["context_length"],
                                         model["default_output"],
                                         model["max_output"] };
  }
  for (const auto& item : aValue["upstream_groups"].items()) {
    capacity.mUpstreamGroups.push_back(ReadGroup(item.key(), item.value()));
  }
  for (const auto& item : aValue["services"].items()) {
    capacity.mServices[{ item.key() }] = ReadService(item.key(), item.value());
  }
  return capacity;
}

account_section ReadAccount(const std::string& aName, const json& aValue)
{
  account_section account;
  account.mId = { aName };
  for (const json& hash : aValue["key_hashes"]) {
    account.mKeyHashes.push_back(
      *ParseApiKeyHash(hash.get_ref<const std::string&>()));
  }
  account.mDefaultRank =
    *ParseWorkRank(aValue["default_rank"].get_ref<const std::string&>());
  for (const json& rank : aValue["allowed_ranks"]) {
    account.mAllowedRanks.push_back(
      *ParseWorkRank(rank.get_ref<const std::string&>()));
  }
  for (const json& model : aValue["allowed_models"]) {
    account.mAllowedModels.push_back({ model });
  }
  account.mBudget = { aValue["budget"] };
  account.mWeight = aValue["weight"];
  account.mFreeTier = aValue["free_tier"];
  account.mMaxOutput = aValue["max_output"];
  return account;
}

// The Check functions also run on texts that failed their schema, so every
// value may be absent or of another type.

double NumberAt(const json_text& aText, const std::string& aPointer)
{
  const json::json_pointer pointer(aPointer);
  if (!aText.mValue.contains(pointer)) {
    return 0;
  }
  const json& value = aText.mValue[pointer];
  return value.is_number() ? value.get<double>() : 0;
}

void CheckFloors(const json_text& aText, std::vector<json_error>& aErrors)
{
  double sum = 0;
  for (std::size_t i = 0; i < kWorkRankCount; ++i) {
    sum += NumberAt(aText,
                    fmt::format("/ranks/{}/floor_share",
                                WorkRankName(static_cast<work_rank>(i))));
  }
  // The floating-point sum of shares such as 0.7, 0.2 and 0.1 is slightly more
  // than 1.
  constexpr double kRounding = 1e-9;
  if (sum > 1 + kRounding) {
    aErrors.push_back(aText.ErrorAt(
      "/ranks",
      fmt::format("the floor shares add to {:.15g}, more than 1", sum)));
  }
}

void CheckModel(const json_text& aText,
                const std::string& aPointer,
                std::vector<json_error>& aErrors)
{
  const double contextLength = NumberAt(aText, aPointer + "/context_length");
  const double maxOutput = NumberAt(aText, aPointer + "/max_output");
  const double defaultOutput = NumberAt(aText, aPointer + "/default_output");
  if (maxOutput > contextLength) {
    aErrors.push_back(aText.ErrorAt(aPointer + "/max_output",
                                    "is more than \"context_length\""));
  }
  if (defaultOutput > maxOutput) {
    aErrors.push_back(aText.ErrorAt(aPointer + "/default_output",
                                    "is more than \"max_output\""));
  }
}

/// The key as a reference token of a JSON pointer (RFC 6901).
std::string EscapePointerToken(std::string_view aKey)
{
  return (json::json_pointer() / std::string(aKey)).to_string().substr(1);
}

void CheckGroupModels(const json_text& aText, std::vector<json_error>& aErrors)
{
  const json groups = aText.mValue.value("upstream_groups", json::object());
  const json models = aText.mValue.value("models", json::object());
  for (const auto& item : groups.items()) {
    const std::string list =
      fmt::format("/upstream_groups/{}/models", EscapePointerToken(item.key()));
    const json::json_pointer pointer(list);
    const std::size_t count =
      aText.mValue.contains(pointer) ? aText.mValue[pointer].size() : 0;
    for (std::size_t i = 0; i < count; ++i) {
      const std::string modelPointer = fmt::format("{}/{}", list, i);
      const std::string model = StringAt(aText, modelPointer);
      if (!model.empty() && !models.contains(model)) {
        aErrors.push_back(aText.ErrorAt(
          modelPointer, fmt::format("unknown model \"{}\"", model)));
      }
    }
  }
}

void CheckCapacity(const json_text& aText, std::vector<json_error>& aErrors)
{
  if (!aText.mValue.is_object()) {
    return;
  }
  CheckFloors(aText, aErrors);
  const json models = aText.mValue.value("models", json::object());
  for (const auto& item : models.items()) {
    CheckModel(aText, "/models/" + EscapePointerToken(item.key()), aErrors);
  }
  CheckGroupModels(aText, aErrors);
}

std::vector<std::string> StringsAt(const json_text& aText, const char* aKey)
{
  std::vector<std::string> texts;
  const json list = aText.mValue.value(aKey, json::array());
  for (const json& entry : list) {
    texts.push_back(entry.is_string() ? entry.get<std::string>() : "");
  }
  return texts;
}

void CheckAccountRanks(const json_text& aText, std::vector<json_error>& aErrors)
{
  const std::vector<std::string> allowed = StringsAt(aText, "allowed_ranks");
  const std::string defaultRank = StringAt(aText, "/default_rank");
  if (std::ranges::find(allowed, defaultRank) == allowed.end()) {
    aErrors.push_back(aText.ErrorAt(
      "/default_rank",
      fmt::format("rank \"{}\" is not in \"allowed_ranks\"", defaultRank)));
  }
  if (aText.mValue.value("free_tier", json(false)) != json(true)) {
    return;
  }
  for (std::size_t i = 0; i < allowed.size(); ++i) {
    if (allowed[i] != WorkRankName(work_rank::Background)) {
      aErrors.push_back(
        aText.ErrorAt(fmt::format("/allowed_ranks/{}", i),
                      "a free tier account may only use \"background\""));
    }
  }
}

void CheckRepeated(const json_text& aText,
                   const char* aKey,
                   std::vector<json_error>& aErrors)
{
  std::set<std::string> seen;
  const std::vector<std::string> texts = StringsAt(aText, aKey);
  for (std::size_t i = 0; i < texts.size(); ++i) {
    if (!seen.insert(texts[i]).second) {
      aErrors.push_back(
        aText.ErrorAt(fmt::format("/{}/{}", aKey, i),
                      fmt::format("\"{}\" is listed twice", texts[i])));
    }
  }
}

void CheckAccount(const json_text& aText, std::vector<json_error>& aErrors)
{
  if (!aText.mValue.is_object()) {
    return;
  }
  CheckAccountRanks(aText, aErrors);
  for (const char* key : { "key_hashes", "allowed_ranks", "allowed_models" }) {
    CheckRepeated(aText, key, aErrors);
  }
}

bool IsPartName(std::string_view aName)
{
  return !aName.empty() && aName.size() <= 64 &&
         std::ranges::all_of(aName, [](char aCharacter) {
           return g_ascii_isalnum(aCharacter) || aCharacter == '-' ||
                  aCharacter == '_' || aCharacter == '.';
         });
}

} // namespace

price_table::price_table()
{
  static const auto sEmpty = std::make_shared<const map>();
  mPrices = sEmpty;
}

price_table::price_table(map aPrices)
  : mPrices(std::make_shared<const map>(std::move(aPrices)))
{
}

const model_price* price_table::Find(const model_id& aModel) const
{
  const auto found = mPrices->find(aModel);
  return found == mPrices->end() ? nullptr : &found->second;
}

bool price_table::operator==(const price_table& aOther) const
{
  return mPrices == aOther.mPrices || *mPrices == *aOther.mPrices;
}

std::strong_ordering price_table::operator<=>(const price_table& aOther) const
{
  return mPrices == aOther.mPrices ? std::strong_ordering::equal
                                   : *mPrices <=> *aOther.mPrices;
}

bool IsSectionName(std::string_view aName)
{
  if (aName == kBillingName || aName == kCapacityName) {
    return true;
  }
  for (const std::string_view prefix : { kBillingPrefix, kAccountPrefix }) {
    if (aName.starts_with(prefix)) {
      return IsPartName(aName.substr(prefix.size()));
    }
  }
  return false;
}

config_result<fleet_section> ParseSection(std::string_view aName,
                                          std::string_view aText)
{
  if (!IsSectionName(aName)) {
    return config_errors{ { { std::string(aName),
                              0,
                              "",
                              "is not \"billing\", \"billing/PART\", "
                              "\"capacity\" or \"accounts/NAME\"" } } };
  }
  if (aName == kCapacityName) {
    const auto text =
      ReadWithSchema(aText, aName, CapacitySchema(), CheckCapacity);
    if (text.has_error()) {
      return text.error();
    }
    return fleet_section(ReadCapacity(text.value().mValue));
  }
  if (aName.starts_with(kAccountPrefix)) {
    const auto text =
      ReadWithSchema(aText, aName, AccountSchema(), CheckAccount);
    if (text.has_error()) {
      return text.error();
    }
    const std::string account(aName.substr(kAccountPrefix.size()));
    return fleet_section(ReadAccount(account, text.value().mValue));
  }
  const auto text = ReadWithSchema(aText, aName, BillingSchema());
  if (text.has_error()) {
    return text.error();
  }
  return fleet_section(ReadBilling(text.value().mValue));
}

bool MatchesPattern(std::string_view aPattern, std::string_view aText)
{
  if (aPattern.ends_with('*')) {
    aPattern.remove_suffix(1);
    return aText.starts_with(aPattern);
  }
  return aPattern == aText;
}
