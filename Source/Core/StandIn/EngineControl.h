#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "Common/Result.h"
#include "Common/Time.h"

/// Models, adapters and role of an engine, changed by commands.
///
/// `POST /v1/admin/commands` takes `{"token","command",...}`:
///
/// | command | further members |
/// | --- | --- |
/// | `load_model` | `model`, `version`, optional `ticket` |
/// | `unload_model` | `model` |
/// | `load_adapter`, `unload_adapter` | `adapter` |
/// | `set_role` | `role`: `both`, `prefill` or `decode` |
///
/// The reply is 200 with the state, 409 for a stale token where tokens are
/// checked, or 400. `GET /v1/admin/state` gives the state.

enum class command_error : std::uint8_t
{
  /// A command with a higher fencing token was applied before.
  StaleToken,
  Malformed,
};

struct engine_control_options
{
  /// Names of the models that are loaded at the start.
  std::vector<std::string> mModels{ "small" };
  std::string mRole = "both";
  /// Whether commands with a stale fencing token are rejected; an engine that
  /// ignores the token applies commands in order of arrival.
  bool mChecksToken = true;
  /// Time from a load command until the model serves.
  std::chrono::milliseconds mLoadTime{ 200 };
};

class engine_control
{
public:
  explicit engine_control(engine_control_options aOptions);

  result<void, command_error> Apply(std::string_view aBody, time_point aNow);
  /// Whether a model or an adapter of that name serves requests.
  bool Serves(const std::string& aModel, time_point aNow) const;
  nlohmann::json State(time_point aNow) const;
  /// Names of the models that serve.
  std::vector<std::string> Models(time_point aNow) const;
  const std::set<std::string>& Adapters() const { return mAdapters; }
  const std::string& Role() const { return mRole; }
  /// Highest fencing token seen.
  std::uint64_t Token() const { return mToken; }
  std::uint64_t Applied() const { return mApplied; }
  std::uint64_t Rejected() const { return mRejected; }

private:
  struct model_entry
  {
    std::string mVersion;
    std::string mTicket;
    time_point mReady{};
  };

  bool Run(const nlohmann::json& aCommand, time_point aNow);

  engine_control_options mOptions;
  std::map<std::string, model_entry> mModels;
  std::set<std::string> mAdapters;
  std::string mRole;
  std::uint64_t mToken = 0;
  std::uint64_t mApplied = 0;
  std::uint64_t mRejected = 0;
};
