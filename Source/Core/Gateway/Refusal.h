#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "Net/HttpConnection.h"

/// Head of an answer of the gateway itself. Its body is `RefusalBody`. Without
/// `aRetryAfter`, the client is not told to come back.
http_server_response RefusalHead(
  unsigned aStatus,
  std::optional<std::chrono::milliseconds> aRetryAfter);

/// JSON object with the reason.
std::string RefusalBody(std::string_view aReason);
