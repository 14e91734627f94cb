#include "Node/ChatAdmission.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";
// A price is the number of budget units for this many tokens.
constexpr std::int64_t kTokensPerPrice = 1000;
// One budget unit per token, for models without a configured price.
constexpr model_price kDefaultPrice{ 1000, 1000 };

request_error MakeError(request_error_code aCode, std::string aMessage)
{
  return { aCode, std::move(aMessage), run_state::NotRun, std::nullopt };
}

template<class T>
bool IsAllowed(const std::vector<T>& aAllowed, const T& aValue)
{
  return std::find(aAllowed.begin(), aAllowed.end(), aValue) != aAllowed.end();
}

result<work_rank, request_error> SelectRank(const account_section& aAccount,
                                            const chat_request& aChat)
{
  const work_rank rank = aChat.mRank.value_or(aAccount.mDefaultRank);
  const bool isDefault = rank == aAccount.mDefaultRank;
  if (!isDefault && !IsAllowed(aAccount.mAllowedRanks, rank)) {
    return MakeError(
      request_error_code::RankNotAllowed,
      fmt::format("rank: {} is not allowed for client account {}",
                  WorkRankName(rank),
                  aAccount.mId.mName));
  }
  return rank;
}

result<const model_settings*, request_error> FindAllowedModel(
  const fleet_document& aDocument,
  const account_section& aAccount,
  const chat_request& aChat)
{
  const model_settings* model = aDocument.FindModel(aChat.mModel);
  if (model == nullptr) {
    return MakeError(
      request_error_code::UnknownModel,
      fmt::format("model: {} does not exist", aChat.mModel.mName));
  }
  if (!IsAllowed(aAccount.mAllowedModels, aChat.mModel)) {
    return MakeError(
      request_error_code::ModelNotAllowed,
      fmt::format("model: {} is not allowed for client account {}",
                  aChat.mModel.mName,
                  aAccount.mId.mName));
  }
  return model;
}

std::int64_t LimitOutput(const account_section& aAccount,
                         const model_settings& aModel,
                         const chat_request& aChat)
{
  std::int64_t cap = aChat.mMaxTokens.value_or(aModel.mDefaultOutput);
  cap = std::min<std::int64_t>(cap, aModel.mMaxOutput);
  if (aAccount.mMaxOutput > 0) {
    cap = std::min<std::int64_t>(cap, aAccount.mMaxOutput);
  }
  return std::max<std::int64_t>(cap, 1);
}

model_price FindPrice(const fleet_document& aDocument,
                      const account_section& aAccount,
                      const model_id& aModel)
{
  const auto budget = aDocument.FindBudget(aAccount.mBudget);
  if (budget == nullptr) {
    return kDefaultPrice;
  }
  const auto price = budget->mPrices.Find(aModel);
  return price ? *price : kDefaultPrice;
}

} // namespace

result<std::shared_ptr<const account_section>, request_error> Authenticate(
  const fleet_document& aDocument,
  std::string_view aAuthorization)
{
  if (!aAuthorization.starts_with(kBearerPrefix)) {
    return MakeError(request_error_code::InvalidKey,
                     "Authorization: expected Bearer and an API key");
  }
  aAuthorization.remove_prefix(kBearerPrefix.size());
  auto account = aDocument.FindAccountByKey(HashApiKey(aAuthorization));
  if (account == nullptr) {
    return MakeError(request_error_code::InvalidKey,
                     "Authorization: the API key is not known");
  }
  return account;
}

result<admitted_chat, request_error> AdmitChat(const fleet_document& aDocument,
                                               const chat_input& aInput)
{
  BOOST_OUTCOME_TRY(account, Authenticate(aDocument, aInput.mAuthorization));
  BOOST_OUTCOME_TRY(chat, ParseChatRequest(aInput.mBody));
  BOOST_OUTCOME_TRY(model, FindAllowedModel(aDocument, *account, chat));
  BOOST_OUTCOME_TRY(rank, SelectRank(*account, chat));

  admitted_chat admitted;
  admitted.mMaxOutput = LimitOutput(*account, *model, chat);
  admitted.mPrice = FindPrice(aDocument, *account, chat.mModel);
  admitted.mRank = rank;
  admitted.mAccount = std::move(account);
  admitted.mChat = std::move(chat);
  return admitted;
}

std::int64_t ComputePrice(const model_price& aPrice,
                          std::int64_t aPromptTokens,
                          std::int64_t aOutputTokens)
{
  const std::int64_t scaled =
    aPromptTokens * aPrice.mPrompt + aOutputTokens * aPrice.mOutput;
  return (scaled + kTokensPerPrice - 1) / kTokensPerPrice;
}
