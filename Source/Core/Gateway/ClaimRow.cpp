#include "Gateway/ClaimRow.h"

#include <algorithm>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "Common/JsonText.h"
#include "Common/TextCodec.h"

using nlohmann::json;

namespace {

// Places in the array of an account. Versions that know only the first two
// ignore the others.
constexpr std::size_t kReceivedPlace = 0;
constexpr std::size_t kSpendLimitPlace = 1;
constexpr std::size_t kHardLimitPlace = 2;
constexpr std::size_t kTakenPlace = 3;
constexpr std::size_t kStartLimitPlace = 4;
constexpr std::size_t kMaxWitnesses = 16;

/// Throws if the value is no whole number within the limits.
std::int64_t ReadNumber(const json& aValue, std::int64_t aMin = 0)
{
  const auto number = ReadWholeNumber(aValue, aMin);
  if (!number) {
    throw std::out_of_range("number out of range");
  }
  return *number;
}

std::int64_t ReadTokens(const json& aValue)
{
  return ReadNumber(aValue, -kMaxWholeNumber);
}

claim_entry ParseEntry(const json& aEntry)
{
  claim_entry entry;
  entry.mReceived = ReadTokens(aEntry.at(kReceivedPlace));
  entry.mSpendLimit = ReadTokens(aEntry.at(kSpendLimitPlace));
  entry.mHardLimit = entry.mReceived;
  if (aEntry.size() > kHardLimitPlace) {
    entry.mHardLimit =
      std::max(entry.mSpendLimit, ReadTokens(aEntry.at(kHardLimitPlace)));
  }
  if (aEntry.size() > kTakenPlace) {
    entry.mTaken = ReadTokens(aEntry.at(kTakenPlace));
  }
  entry.mStartLimit = entry.mSpendLimit;
  if (aEntry.size() > kStartLimitPlace) {
    entry.mStartLimit =
      std::min(entry.mSpendLimit, ReadTokens(aEntry.at(kStartLimitPlace)));
  }
  return entry;
}

/// Runs, as text because JSON numbers are exact up to 2^53 only.
std::vector<std::uint64_t> ParseWitnesses(const json& aList)
{
  if (aList.size() > kMaxWitnesses) {
    throw std::out_of_range("too many witnesses");
  }
  std::vector<std::uint64_t> witnesses;
  for (const json& entry : aList) {
    const auto run =
      ParseDecimal<std::uint64_t>(entry.get_ref<const std::string&>());
    if (!run) {
      throw std::invalid_argument("a witness is no number");
    }
    witnesses.push_back(*run);
  }
  return witnesses;
}

} // namespace

std::int64_t LimitAt(const claim_entry& aEntry,
                     std::chrono::milliseconds aAge,
                     const claim_terms& aTerms)
{
  if (aAge >= aTerms.mTimeToLive && !aTerms.mKeepsRising) {
    return aEntry.mHardLimit;
  }
  const double share =
    std::max(0.0,
             static_cast<double>(aAge.count()) /
               static_cast<double>(aTerms.mTimeToLive.count()));
  const double risen =
    share * static_cast<double>(aEntry.mSpendLimit - aEntry.mStartLimit);
  const auto room = static_cast<double>(aEntry.mHardLimit - aEntry.mStartLimit);
  return aEntry.mStartLimit + static_cast<std::int64_t>(std::min(risen, room));
}

std::string WriteClaimRow(const claim_row& aRow)
{
  json accounts = json::object();
  for (const auto& [account, entry] : aRow.mAccounts) {
    accounts[account] = { entry.mReceived,
                          entry.mSpendLimit,
                          entry.mHardLimit,
                          entry.mTaken,
                          entry.mStartLimit };
  }
  json body = { { "run", aRow.mRun },
                { "sequence", aRow.mSequence },
                { "stated_at_ms", aRow.mStartsAt.count() },
                { "in_force_ms", aRow.mTerms.mTimeToLive.count() },
                { "era", aRow.mEra },
                { "accounts", std::move(accounts) } };
  if (aRow.mTerms.mKeepsRising) {
    body["rises_alone_ms"] = aRow.mTerms.mRisesAloneFor.count();
    json& witnesses = body["witnesses"] = json::array();
    for (const std::uint64_t run : aRow.mTerms.mWitnesses) {
      witnesses.push_back(std::to_string(run));
    }
  }
  if (!aRow.mTaker.empty()) {
    body["taker"] = aRow.mTaker;
    body["taken_from"] = aRow.mTakenFrom;
  }
  return body.dump();
}

std::optional<claim_row> ParseClaimRow(std::string_view aText)
{
  const auto parsed = ParseBoundedJson(aText);
  if (!parsed || !parsed->is_object()) {
    return std::nullopt;
  }
  const json& body = *parsed;
  try {
    claim_row row;
    row.mRun = body.at("run").get<std::string>();
    row.mSequence = static_cast<std::uint64_t>(ReadNumber(body.at("sequence")));
    row.mStartsAt =
      std::chrono::milliseconds(ReadNumber(body.at("stated_at_ms")));
    if (body.contains("in_force_ms")) {
      row.mTerms.mTimeToLive =
        std::chrono::milliseconds(ReadNumber(body.at("in_force_ms"), 1));
    }
    if (body.contains("rises_alone_ms")) {
      row.mTerms.mKeepsRising = true;
      row.mTerms.mRisesAloneFor =
        std::chrono::milliseconds(ReadNumber(body.at("rises_alone_ms")));
      row.mTerms.mWitnesses = ParseWitnesses(body.at("witnesses"));
    }
    if (body.contains("era")) {
      row.mEra = static_cast<std::uint64_t>(ReadNumber(body.at("era")));
    }
    for (const auto& [account, entry] : body.at("accounts").items()) {
      row.mAccounts[account] = ParseEntry(entry);
    }
    row.mTaker = body.value("taker", std::string());
    if (body.contains("taken_from")) {
      row.mTakenFrom =
        static_cast<std::uint64_t>(ReadNumber(body.at("taken_from")));
    }
    return row;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

claimed_tokens TakeableTokens(const claim_row& aRow)
{
  claimed_tokens takeable;
  for (const auto& [account, entry] : aRow.mAccounts) {
    if (entry.mReceived > entry.mHardLimit) {
      takeable[account] = entry.mReceived - entry.mHardLimit;
    }
  }
  return takeable;
}

claim_row WithoutTakeableTokens(const claim_row& aRow,
                                const std::string& aTaker,
                                std::uint64_t aVersion)
{
  claim_row row = aRow;
  for (const auto& [account, tokens] : TakeableTokens(aRow)) {
    claim_entry& entry = row.mAccounts[account];
    entry.mReceived -= tokens;
    entry.mSpendLimit = std::min(entry.mSpendLimit, entry.mReceived);
    entry.mStartLimit = std::min(entry.mStartLimit, entry.mReceived);
    entry.mTaken += tokens;
  }
  row.mTaker = aTaker;
  row.mTakenFrom = aVersion;
  return row;
}
