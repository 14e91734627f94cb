#include "Gateway/Refusal.h"

#include <fmt/format.h>

http_server_response RefusalHead(
  unsigned aStatus,
  std::optional<std::chrono::milliseconds> aRetryAfter)
{
  http_server_response head;
  head.mStatus = aStatus;
  head.mHeaders.emplace_back("Content-Type", "application/json");
  if (aRetryAfter) {
    head.mHeaders.emplace_back(
      "Retry-After",
      fmt::format("{:.3f}",
                  std::chrono::duration<double>(*aRetryAfter).count()));
  }
  return head;
}

std::string RefusalBody(std::string_view aReason)
{
  return fmt::format("{{\"error\":\"{}\"}}", aReason);
}
