#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "Common/Result.h"

/// Why a request for a ticket failed.
enum class weight_error : std::uint8_t
{
  Unavailable,
  NotFound,
  RateLimited,
};

/// Permission to download a model's weights. The upstream uses the ticket to
/// download them itself.
struct weight_ticket
{
  std::string mModel;
  std::string mTicket;
  /// Size of the weights in bytes.
  std::uint64_t mBytes = 0;
  auto operator<=>(const weight_ticket&) const = default;
};

/// The platform's rate-limited weight store.
class weight_store
{
public:
  using callback = std::function<void(result<weight_ticket, weight_error>)>;

  virtual ~weight_store() = default;
  /// Requests a download ticket for a model.
  virtual void Request(std::string aModel, callback aReply) = 0;
};
