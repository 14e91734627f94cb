#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Common/Identity.h"
#include "Config/ApiKeyHash.h"
#include "Config/ConfigError.h"
#include "Config/SettingSchema.h"

/// Parsed sections of the fleet document.

/// Budget units per 1,000 tokens of a model.
struct model_price
{
  std::uint32_t mPrompt = 0;
  std::uint32_t mOutput = 0;
  auto operator<=>(const model_price&) const = default;
};

/// Immutable prices by model. Copies share one table, because thousands of
/// budgets have the same prices.
class price_table
{
public:
  using map = std::map<model_id, model_price>;

  price_table();
  explicit price_table(map aPrices);

  /// Null when the model has no price.
  const model_price* Find(const model_id& aModel) const;
  bool Contains(const model_id& aModel) const
  {
    return Find(aModel) != nullptr;
  }
  const map& Entries() const { return *mPrices; }

  /// Compares the entries.
  bool operator==(const price_table& aOther) const;
  std::strong_ordering operator<=>(const price_table& aOther) const;

private:
  std::shared_ptr<const map> mPrices;
};

/// A prepaid budget. Its total is in the budget row, not in the document.
struct budget_entry
{
  budget_id mId;
  /// Client accounts that may spend from it.
  std::vector<account_id> mAccounts;
  /// Prices of its section, overridden model by model by its own.
  price_table mPrices;
  auto operator<=>(const budget_entry&) const = default;
};

/// Section `billing`, or a part of it named `billing/<part>`.
struct billing_section
{
  std::vector<budget_entry> mBudgets;
  auto operator<=>(const billing_section&) const = default;
};

/// Admission limits of one rank.
struct rank_policy
{
  /// Share of capacity, 0 to 1, reserved for the rank while other ranks are
  /// overloaded.
  double mFloorShare = 0;
  /// Longest acceptable time to the first token. A request that is not expected
  /// to meet it is rejected.
  std::chrono::milliseconds mFirstToken{ 0 };
  /// Most requests that may wait at one node.
  std::uint32_t mMaxQueuedRequests = 0;
  auto operator<=>(const rank_policy&) const = default;
};

struct model_settings
{
  model_id mId;
  /// Most tokens of prompt and output together.
  std::uint32_t mContextLength = 0;
  /// Output limit, in tokens, of a request that does not set one.
  std::uint32_t mDefaultOutput = 0;
  std::uint32_t mMaxOutput = 0;
  auto operator<=>(const model_settings&) const = default;
};

/// Upstreams with the same capabilities.
struct upstream_group
{
  std::string mName;
  /// Host names; a final `*` matches any suffix.
  std::vector<std::string> mHosts;
  std::vector<model_id> mModels;
  /// Rejects a command with a stale fencing token.
  bool mChecksFencing = false;
  bool mHonoursPriorities = false;
  bool mResumesStreams = false;
  auto operator<=>(const upstream_group&) const = default;
};

/// Calls of a backend service that must run at most once.
struct call_pattern
{
  /// HTTP method in capitals.
  std::string mMethod;
  /// Path within the service; a final `*` matches any suffix.
  std::string mPath;
  auto operator<=>(const call_pattern&) const = default;
};

struct service_settings
{
  service_id mId;
  std::vector<call_pattern> mNotRepeatable;
  auto operator<=>(const service_settings&) const = default;
};

/// Section `capacity`.
struct capacity_section
{
  std::array<rank_policy, kWorkRankCount> mRanks;
  std::map<model_id, model_settings> mModels;
  std::vector<upstream_group> mUpstreamGroups;
  std::map<service_id, service_settings> mServices;
  auto operator<=>(const capacity_section&) const = default;
};

/// Section `accounts/<name>`.
struct account_section
{
  account_id mId;
  std::vector<api_key_hash> mKeyHashes;
  work_rank mDefaultRank = work_rank::Routine;
  std::vector<work_rank> mAllowedRanks;
  std::vector<model_id> mAllowedModels;
  budget_id mBudget;
  /// Weight relative to other accounts of the same rank.
  double mWeight = 1;
  /// The account gets spare capacity only.
  bool mFreeTier = false;
  /// Largest output limit of one request, in tokens.
  std::uint32_t mMaxOutput = 0;
  auto operator<=>(const account_section&) const = default;
};

using fleet_section =
  std::variant<billing_section, capacity_section, account_section>;

/// True for `billing`, `billing/<part>`, `capacity` and `accounts/<name>`.
bool IsSectionName(std::string_view aName);

/// Parses one section on its own. Errors name `aName` as their source.
config_result<fleet_section> ParseSection(std::string_view aName,
                                          std::string_view aText);

/// True when the pattern equals the text, or ends in `*` and the text starts
/// with what comes before.
bool MatchesPattern(std::string_view aPattern, std::string_view aText);

/// Schemas of the sections, for checks and the settings page.
const setting_schema& BillingSchema();
const setting_schema& CapacitySchema();
const setting_schema& AccountSchema();
