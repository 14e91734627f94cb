#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "Common/Result.h"
#include "Config/FleetDocument.h"
#include "Node/ChatRequest.h"
#include "Node/RequestError.h"

/// A chat request that passed authentication and the checks of model, rank and
/// output limit.
struct admitted_chat
{
  std::shared_ptr<const account_section> mAccount;
  work_rank mRank = work_rank::Routine;
  chat_request mChat;
  /// Output limit sent to the upstream, in tokens.
  std::int64_t mMaxOutput = 0;
  model_price mPrice;
};

/// The parts of a caller's HTTP request that admission checks.
struct chat_input
{
  std::string_view mAuthorization;
  std::string_view mBody;
};

/// Finds the client account of an `Authorization: Bearer` header. Fails with
/// `InvalidKey` when the header is malformed or the API key is unknown.
result<std::shared_ptr<const account_section>, request_error> Authenticate(
  const fleet_document& aDocument,
  std::string_view aAuthorization);

/// Checks a request against the configuration: API key, body, model, rank.
result<admitted_chat, request_error> AdmitChat(const fleet_document& aDocument,
                                               const chat_input& aInput);

/// Price of a token usage in budget units, rounded up.
std::int64_t ComputePrice(const model_price& aPrice,
                          std::int64_t aPromptTokens,
                          std::int64_t aOutputTokens);
