#include "Config/FleetSections.h"

namespace {

using enum setting_type;

constexpr double kMaxTokens = 10'000'000;
// Limit per section. More budgets go into further `billing/<part>` sections, so
// that nodes do not have to read all budgets when one of them changes.
constexpr double kMaxBudgets = 20'000;
constexpr double kMaxPrice = 1'000'000;
constexpr std::string_view kPriceHelp =
  "Budget units per 1,000 tokens of a model.";
constexpr std::string_view kPromptHelp = "Units per 1,000 prompt tokens.";
constexpr std::string_view kOutputHelp = "Units per 1,000 output tokens.";

constexpr auto kBilling = std::to_array<setting_descriptor>({
  { "prices{}", Object, 0, 1000, "", "{}", kPriceHelp },
  { "prices{}.prompt", Integer, 0, kMaxPrice, "units", "", kPromptHelp },
  { "prices{}.output", Integer, 0, kMaxPrice, "units", "", kOutputHelp },
  { "budgets{}",
    Object,
    0,
    kMaxBudgets,
    "",
    "{}",
    "Prepaid budgets by identifier. Their totals are in the budget rows." },
  { "budgets{}.accounts[]",
    Name,
    1,
    64,
    "bytes",
    "",
    "Client accounts that may spend from the budget." },
  { "budgets{}.prices{}",
    Object,
    0,
    1000,
    "",
    "{}",
    "Prices of this budget, in place of the section's." },
  { "budgets{}.prices{}.prompt",
    Integer,
    0,
    kMaxPrice,
    "units",
    "",
    kPromptHelp },
  { "budgets{}.prices{}.output",
    Integer,
    0,
    kMaxPrice,
    "units",
    "",
    kOutputHelp },
});

constexpr std::string_view kFloorHelp =
  "Share of capacity reserved for the rank while other ranks are overloaded.";
constexpr std::string_view kFirstTokenHelp =
  "Longest acceptable time to the first token; a request that is not expected "
  "to meet it is rejected at once.";
constexpr std::string_view kQueueHelp =
  "Most requests that may wait at one node.";

constexpr auto kCapacity = std::to_array<setting_descriptor>({
  { "ranks.urgent.floor_share", Number, 0, 1, "", "0", kFloorHelp },
  { "ranks.urgent.first_token_ms",
    Integer,
    10,
    600000,
    "ms",
    "1200",
    kFirstTokenHelp },
  { "ranks.urgent.queue_bound", Integer, 0, 100000, "", "200", kQueueHelp },
  { "ranks.routine.floor_share", Number, 0, 1, "", "0.2", kFloorHelp },
  { "ranks.routine.first_token_ms",
    Integer,
    10,
    600000,
    "ms",
    "10000",
    kFirstTokenHelp },
  { "ranks.routine.queue_bound", Integer, 0, 100000, "", "400", kQueueHelp },
  { "ranks.background.floor_share", Number, 0, 1, "", "0.05", kFloorHelp },
  { "ranks.background.first_token_ms",
    Integer,
    10,
    600000,
    "ms",
    "60000",
    kFirstTokenHelp },
  { "ranks.background.queue_bound", Integer, 0, 100000, "", "400", kQueueHelp },
  { "models{}", Object, 0, 1000, "", "{}", "Models by name." },
  { "models{}.context_length",
    Integer,
    1,
    kMaxTokens,
    "tokens",
    "",
    "Most tokens of prompt and output together." },
  { "models{}.default_output",
    Integer,
    1,
    kMaxTokens,
    "tokens",
    "",
    "Output limit of a request that names none." },
  { "models{}.max_output",
    Integer,
    1,
    kMaxTokens,
    "tokens",
    "",
    "Largest output limit of a request." },
  { "upstream_groups{}",
    Object,
    0,
    10000,
    "",
    "{}",
    "Model servers with the same capabilities, by group name." },
  { "upstream_groups{}.hosts[]",
    Text,
    1,
    128,
    "bytes",
    "",
    "Host names; a final `*` matches the rest of the name." },
  { "upstream_groups{}.models[]",
    Name,
    1,
    128,
    "bytes",
    "",
    "Models that the servers can run." },
  { "upstream_groups{}.checks_fencing",
    Flag,
    0,
    0,
    "",
    "false",
    "The servers reject a command with a stale fencing token." },
  { "upstream_groups{}.honours_priorities",
    Flag,
    0,
    0,
    "",
    "false",
    "The servers run requests by priority." },
  { "upstream_groups{}.resumes_streams",
    Flag,
    0,
    0,
    "",
    "false",
    "The servers can resume a broken stream." },
  { "services{}", Object, 0, 1000, "", "{}", "Backend services by name." },
  { "services{}.not_repeatable[]",
    Object,
    0,
    1000,
    "",
    "[]",
    "Calls that must run at most once." },
  { "services{}.not_repeatable[].method",
    Name,
    1,
    16,
    "bytes",
    "",
    "HTTP method in capitals." },
  { "services{}.not_repeatable[].path",
    Text,
    1,
    256,
    "bytes",
    "",
    "Path within the service; a final `*` matches the rest of the path." },
});

constexpr auto kAccount = std::to_array<setting_descriptor>({
  { "key_hashes[]",
    Sha256,
    0,
    0,
    "",
    "",
    "SHA-256 of each API key of the account. Two during a key rotation; with "
    "none the account is blocked." },
  { "default_rank",
    Rank,
    0,
    0,
    "",
    "\"routine\"",
    "Rank of a request that names none." },
  { "allowed_ranks[]", Rank, 0, 0, "", "", "Ranks that requests may name." },
  { "allowed_models[]",
    Name,
    1,
    128,
    "bytes",
    "",
    "Models that requests may name." },
  { "budget",
    Name,
    1,
    128,
    "bytes",
    "",
    "Budget that the account spends from." },
  { "weight",
    Number,
    0.01,
    1000,
    "",
    "1",
    "Weight relative to other accounts of the same rank." },
  { "free_tier",
    Flag,
    0,
    0,
    "",
    "false",
    "The account gets spare capacity only; its only rank is `background`." },
  { "max_output",
    Integer,
    1,
    kMaxTokens,
    "tokens",
    "4096",
    "Largest output limit of a request." },
});

} // namespace

const setting_schema& BillingSchema()
{
  static const setting_schema sSchema(kBilling);
  return sSchema;
}

const setting_schema& CapacitySchema()
{
  static const setting_schema sSchema(kCapacity);
  return sSchema;
}

const setting_schema& AccountSchema()
{
  static const setting_schema sSchema(kAccount);
  return sSchema;
}
