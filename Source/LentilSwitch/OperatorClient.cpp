#include "OperatorClient.h"

#include <optional>
#include <utility>

#include <fmt/format.h>

namespace {

using json = nlohmann::json;

// Longer than the time in which a node decides the outcome of a config change.
constexpr std::chrono::milliseconds kReplyTimeout(15'000);
constexpr unsigned kMinErrorStatus = 400;

operator_error ParseErrorReply(unsigned aStatus, const json& aBody)
{
  operator_error error{
    aStatus, "error", fmt::format("status {}", aStatus), aBody
  };
  if (aBody.is_object() && aBody.contains("error") &&
      aBody.at("error").is_object()) {
    error.mCode = aBody.at("error").value("code", error.mCode);
    error.mMessage = aBody.at("error").value("message", error.mMessage);
  } else if (aBody.is_object() && aBody.contains("status") &&
             aBody.at("status").is_string()) {
    error.mCode = aBody.at("status").get<std::string>();
    error.mMessage = aBody.value("message", error.mMessage);
  }
  return error;
}

operator_client::reply ParseReply(const http_reply& aReply)
{
  json body = json::parse(aReply.mBody, nullptr, false);
  if (body.is_discarded()) {
    return operator_error{
      aReply.mStatus, "malformed", "the response is not JSON", json()
    };
  }
  if (aReply.mStatus >= kMinErrorStatus) {
    return ParseErrorReply(aReply.mStatus, body);
  }
  return body;
}

} // namespace

operator_client::operator_client(operator_target aTarget)
  : mTarget(std::move(aTarget))
{
}

operator_client::reply operator_client::Get(const std::string& aPath)
{
  return Send("GET", aPath, "");
}

operator_client::reply operator_client::Post(const std::string& aPath,
                                             const json& aBody)
{
  return Send("POST", aPath, aBody.dump());
}

operator_client::reply operator_client::PostText(const std::string& aPath,
                                                 const std::string& aText)
{
  return Send("POST", aPath, aText);
}

operator_client::reply operator_client::Send(const std::string& aMethod,
                                             const std::string& aPath,
                                             const std::string& aBody)
{
  http_request request;
  request.mMethod = aMethod;
  request.mUrl = mTarget.mNodeUrl + aPath;
  request.mBody = aBody;
  request.mTimeout = kReplyTimeout;
  request.mHeaders = { { "Authorization", "Bearer " + mTarget.mKey } };
  http_request_owner owner;
  std::optional<result<http_reply, http_failure>> received;
  mClient.Send(
    request, owner, [&received](const auto& aReply) { received = aReply; });
  mLoop.RunUntil([&received] { return received.has_value(); },
                 kReplyTimeout + std::chrono::seconds(1));
  if (!received) {
    return operator_error{
      0, "timeout", "the node did not reply in time", json()
    };
  }
  if (received->has_error()) {
    return operator_error{ 0,
                           std::string(HttpFailureName(received->error())),
                           mTarget.mNodeUrl + " cannot be reached",
                           json() };
  }
  return ParseReply(received->value());
}
