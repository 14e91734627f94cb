#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "Common/Result.h"
#include "Config/FleetDocument.h"
#include "Node/ChatRequest.h"
#include "Node/RequestError.h"

/// A chat request whose caller, model, rank and size have been checked.
struct admitted_chat
{
  std::shared_ptr<const account_section> mAccount;
  work_rank mRank = work_rank::Routine;
  chat_request mChat;
  /// Output cap that the upstream gets.
  std::int64_t mMaxOutput = 0;
  model_price mPrice;
};

/// What a caller sent.
struct chat_input
{
  std::string_view mAuthorization;
  std::string_view mBody;
};

/// Client account of an `Authorization: Bearer` header.
result<std::shared_ptr<const account_section>, request_error> Authenticate(
  const fleet_document& aDocument,
  std::string_view aAuthorization);

/// Checks a request against the configuration.
result<admitted_chat, request_error> AdmitChat(const fleet_document& aDocument,
                                               const chat_input& aInput);

/// Budget units of a token usage, rounded up.
std::int64_t PriceOf(const model_price& aPrice,
                     std::int64_t aPromptTokens,
                     std::int64_t aOutputTokens);
