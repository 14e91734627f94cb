#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <nlohmann/json.hpp>

#include "Remote/HttpServer.h"
#include "StandIn/DeferredCalls.h"
#include "StandIn/Faults.h"

/// Complete answer of a stand-in.
struct stand_in_reply
{
  unsigned mStatus = 200;
  std::string mBody;
  const char* mContentType = "application/json";
};

stand_in_reply JsonReply(unsigned aStatus, const nlohmann::json& aBody);
stand_in_reply ErrorReply(unsigned aStatus,
                          const std::string& aCode,
                          const std::string& aMessage);

/// Whether a call changes state. Only such calls lose their replies.
enum class call_effect : std::uint8_t
{
  None,
  Changes,
};

/// HTTP server of a stand-in with its faults, and `POST /v1/admin/faults`.
class stand_in_server
{
public:
  using handler = std::function<stand_in_reply(http_server_exchange&)>;

  stand_in_server();

  /// Serves a path with the faults applied.
  void Serve(const std::string& aPath, call_effect aEffect, handler aHandler);
  /// Serves a path with neither faults nor a whole reply.
  void Route(const std::string& aPath, http_server::handler aHandler);

  result<void, http_listen_error> Start(
    const std::string& aAddress = "127.0.0.1:0");
  /// Refuses connections until the next `Start`.
  void Stop();
  /// Starts again on the address of the last start.
  result<void, http_listen_error> Restart();
  const std::string& Address() const { return mServer.Address(); }
  bool Running() const { return mServer.Listening(); }
  stand_in_faults& Faults() { return mFaults; }

private:
  void Run(const http_server_exchange_ptr& aExchange,
           call_effect aEffect,
           const handler& aHandler);
  void SetFaults(const http_server_exchange_ptr& aExchange);
  void Refuse(std::chrono::milliseconds aTime);
  void RestartAfterRefusal();

  stand_in_faults mFaults;
  deferred_calls mDeferred;
  loop_timer mRestart;
  http_server mServer;
};
