#pragma once

#include <functional>
#include <string>

#include "Common/Result.h"

/// Why a call to the object store failed.
enum class object_error : unsigned char
{
  Unavailable,
  NotFound,
  RateLimited,
  /// No reply in time: a `Put` may have been applied.
  Timeout,
};

/// The platform's store for large immutable values.
class object_store
{
public:
  using get_callback = std::function<void(result<std::string, object_error>)>;
  using put_callback = std::function<void(result<void, object_error>)>;

  virtual ~object_store() = default;
  virtual void Get(std::string aName, get_callback aReply) = 0;
  virtual void Put(std::string aName,
                   std::string aBytes,
                   put_callback aReply) = 0;
};
