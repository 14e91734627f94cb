#include "Demo/DemoDocument.h"

#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "Config/FleetSections.h"

namespace {

using json = nlohmann::json;

constexpr std::string_view kCapacity = R"({
    // Urgent work first; the other ranks keep these shares in a flood.
    "ranks": {
      "urgent": { "first_token_ms": 1200 },
      "routine": { "floor_share": 0.2, "first_token_ms": 10000 },
      "background": { "floor_share": 0.05, "first_token_ms": 60000 }
    },
    "models": {
      "small": { "context_length": 8192, "default_output": 64, "max_output": 512 }
    },
    "upstream_groups": {
      "engines": {
        "hosts": ["engine-*"],
        "models": ["small"],
        "checks_fencing": true,
        "honours_priorities": true,
        "resumes_streams": true
      }
    },
    "services": {
      // Every POST books something, so it must run at most once.
      "orders": { "not_repeatable": [{ "method": "POST", "path": "*" }] }
    }
  })";

json MakeAccount(const demo_account& aAccount)
{
  json ranks = json::array({ WorkRankName(aAccount.mRank) });
  if (!aAccount.mFreeTier) {
    ranks = { "urgent", "routine", "background" };
  }
  json account = {
    { "key_hashes", { FormatApiKeyHash(HashApiKey(aAccount.mKey)) } },
    { "default_rank", WorkRankName(aAccount.mRank) },
    { "allowed_ranks", std::move(ranks) },
    { "allowed_models", { "small" } },
    { "weight", aAccount.mWeight },
    { "free_tier", aAccount.mFreeTier },
  };
  account["budget"] = aAccount.mName;
  return account;
}

/// One unit per token.
json MakeBilling(json aBudgets)
{
  const json price = { { "prompt", 1000 }, { "output", 1000 } };
  return { { "prices", { { "small", price } } },
           { "budgets", std::move(aBudgets) } };
}

} // namespace

std::vector<demo_account> DemoAccounts()
{
  constexpr std::int64_t kLarge = 400'000;
  constexpr std::int64_t kSmall = 60'000;
  return {
    { "clinic", "demo-key-clinic", work_rank::Urgent, false, 1, kSmall },
    { "repairs", "demo-key-repairs", work_rank::Urgent, false, 1, kSmall },
    { "reports", "demo-key-reports", work_rank::Routine, false, 2, kLarge },
    { "heavy", "demo-key-heavy", work_rank::Routine, false, 2, kLarge },
    { "free", "demo-key-free", work_rank::Background, true, 1, 0 },
  };
}

std::string DemoDocument(const std::vector<demo_account>& aAccounts)
{
  json accounts = json::object();
  json budgets = json::object();
  for (const demo_account& account : aAccounts) {
    accounts[account.mName] = MakeAccount(account);
    budgets[account.mName] = { { "accounts", { account.mName } } };
  }
  constexpr int kIndent = 2;
  return fmt::format("{{\n  \"billing\": {},\n  \"capacity\": {},\n"
                     "  \"accounts\": {}\n}}\n",
                     MakeBilling(std::move(budgets)).dump(kIndent),
                     kCapacity,
                     accounts.dump(kIndent));
}
