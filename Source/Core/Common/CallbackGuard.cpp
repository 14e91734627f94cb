#include "Common/CallbackGuard.h"

#include "Common/Log.h"

namespace {

std::uint64_t& FailureCount()
{
  static std::uint64_t sCount = 0;
  return sCount;
}

} // namespace

void RecordCallbackFailure(std::string_view aWork,
                           std::string_view aSubject,
                           std::string_view aError)
{
  ++FailureCount();
  Log(log_level::Error,
      "callback_failed",
      { Field("work", aWork),
        Field("subject", aSubject),
        Field("error", aError) });
}

std::uint64_t CallbackFailures()
{
  return FailureCount();
}
