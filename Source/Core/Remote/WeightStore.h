#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "Common/Result.h"

enum class weight_error : std::uint8_t
{
  Unavailable,
  NotFound,
  RateLimited,
};

/// A granted download of a model's weights. The upstream itself downloads
/// them with the ticket.
struct weight_ticket
{
  std::string mModel;
  std::string mTicket;
  std::uint64_t mBytes = 0;
  auto operator<=>(const weight_ticket&) const = default;
};

/// The platform's rate-limited weight store.
class weight_store
{
public:
  using callback = std::function<void(result<weight_ticket, weight_error>)>;

  virtual ~weight_store() = default;
  virtual void Request(std::string aModel, callback aReply) = 0;
};
