#include "Gateway/ClaimRow.h"

#include <nlohmann/json.hpp>

using nlohmann::json;

std::string WriteClaimRow(const claim_row& aRow)
{
  json accounts = json::object();
  for (const auto& [account, entry] : aRow.mAccounts) {
    accounts[account] = { entry.mReceived, entry.mSpendLimit };
  }
  return json({ { "run", aRow.mRun },
                { "sequence", aRow.mSequence },
                { "stated_at_ms", aRow.mStartsAt.count() },
                { "accounts", std::move(accounts) } })
    .dump();
}

std::optional<claim_row> ParseClaimRow(std::string_view aText)
{
  const json body = json::parse(aText, nullptr, false);
  if (!body.is_object()) {
    return std::nullopt;
  }
  try {
    claim_row row;
    row.mRun = body.at("run").get<std::string>();
    row.mSequence = body.at("sequence").get<std::uint64_t>();
    row.mStartsAt =
      std::chrono::milliseconds(body.at("stated_at_ms").get<std::int64_t>());
    for (const auto& [account, entry] : body.at("accounts").items()) {
      row.mAccounts[account] = { entry.at(0).get<std::int64_t>(),
                                 entry.at(1).get<std::int64_t>() };
    }
    return row;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}
