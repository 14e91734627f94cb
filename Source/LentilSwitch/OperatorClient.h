#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "Common/EventLoop.h"
#include "Common/Result.h"
#include "Remote/HttpClient.h"

/// Where an operator command goes and who sends it.
struct operator_target
{
  /// `http://IP:port` of any node.
  std::string mNode;
  /// `ID:SECRET` of an operator key.
  std::string mKey;
};

/// Why a command has no answer.
struct operator_error
{
  /// 0 when the node was not reached.
  unsigned mStatus = 0;
  std::string mCode;
  std::string mMessage;
  /// Whole body of the error response, for commands that show more of it.
  nlohmann::json mBody;
};

/// Sends one command at a time to a node and waits for the answer.
class operator_client
{
public:
  using reply = result<nlohmann::json, operator_error>;

  explicit operator_client(operator_target aTarget);

  reply Get(const std::string& aPath);
  reply Post(const std::string& aPath, const nlohmann::json& aBody);
  /// Sends a text as it is, for documents with comments.
  reply PostText(const std::string& aPath, const std::string& aText);

private:
  reply Send(const std::string& aMethod,
             const std::string& aPath,
             const std::string& aBody);

  operator_target mTarget;
  event_loop mLoop;
  http_client mClient;
};
