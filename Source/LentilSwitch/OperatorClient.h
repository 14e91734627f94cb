#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "Common/EventLoop.h"
#include "Common/Result.h"
#include "Remote/HttpClient.h"

/// Node that an operator command is sent to, and the key that authorizes it.
struct operator_target
{
  /// `http://IP:port` of any node.
  std::string mNodeUrl;
  /// `ID:SECRET` of an operator key.
  std::string mKey;
};

/// Error of an operator command, from the node or from the connection to it.
struct operator_error
{
  /// HTTP status; 0 when the node could not be reached or did not reply.
  unsigned mStatus = 0;
  std::string mCode;
  std::string mMessage;
  /// Body of the error response, for commands that print further fields of it.
  nlohmann::json mBody;
};

/// Sends HTTP requests to the admin interface of a node, one at a time. Each
/// call blocks until the reply, an error or the reply timeout.
class operator_client
{
public:
  using reply = result<nlohmann::json, operator_error>;

  explicit operator_client(operator_target aTarget);

  reply Get(const std::string& aPath);
  reply Post(const std::string& aPath, const nlohmann::json& aBody);
  /// Posts a text unchanged. Used for documents, which may have comments.
  reply PostText(const std::string& aPath, const std::string& aText);

private:
  reply Send(const std::string& aMethod,
             const std::string& aPath,
             const std::string& aBody);

  operator_target mTarget;
  event_loop mLoop;
  http_client mClient;
};
