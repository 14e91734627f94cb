#pragma once

#include <cstdint>
#include <exception>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

/// Callbacks of the event loop run under C code, which an exception must not
/// pass through: it would end the process. The functions here are the boundary.

/// Logs `callback_failed` and counts it. `aSubject` names the peer and the
/// request that the work was for; it may be empty.
void RecordCallbackFailure(std::string_view aWork,
                           std::string_view aSubject,
                           std::string_view aError);

/// Callbacks of this process that ended with an exception.
std::uint64_t CallbackFailures();

/// Runs the work of one callback. An exception ends this work only and is
/// recorded; returns whether there was none.
template<typename Function>
bool RunGuarded(std::string_view aWork,
                Function&& aFunction,
                const std::function<std::string()>& aSubject = {})
{
  std::string error;
  try {
    std::forward<Function>(aFunction)();
    return true;
  } catch (const std::exception& exception) {
    error = exception.what();
  } catch (...) {
    error = "unknown exception";
  }
  RecordCallbackFailure(aWork, aSubject ? aSubject() : std::string(), error);
  return false;
}
