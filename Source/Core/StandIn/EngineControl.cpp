#include "StandIn/EngineControl.h"

#include <algorithm>
#include <utility>

using nlohmann::json;

engine_control::engine_control(engine_control_options aOptions)
  : mOptions(std::move(aOptions))
  , mRole(mOptions.mRole)
{
  for (const std::string& model : mOptions.mModels) {
    mModels.emplace(model, model_entry{ "1", "", {} });
  }
}

result<void, command_error> engine_control::Apply(std::string_view aBody,
                                                  time_point aNow)
{
  try {
    const json command = json::parse(aBody);
    const auto token = command.at("token").get<std::uint64_t>();
    if (mOptions.mChecksToken && token < mToken) {
      ++mRejected;
      return command_error::StaleToken;
    }
    if (!Run(command, aNow)) {
      return command_error::Malformed;
    }
    mToken = std::max(mToken, token);
    ++mApplied;
    return success();
  } catch (const json::exception&) {
    return command_error::Malformed;
  }
}

bool engine_control::Run(const json& aCommand, time_point aNow)
{
  const auto name = aCommand.at("command").get<std::string>();
  if (name == "load_model") {
    const auto model = aCommand.at("model").get<std::string>();
    mModels[model] = { aCommand.at("version").get<std::string>(),
                       aCommand.value("ticket", std::string()),
                       aNow + mOptions.mLoadTime };
  } else if (name == "unload_model") {
    mModels.erase(aCommand.at("model").get<std::string>());
  } else if (name == "load_adapter") {
    mAdapters.insert(aCommand.at("adapter").get<std::string>());
  } else if (name == "unload_adapter") {
    mAdapters.erase(aCommand.at("adapter").get<std::string>());
  } else if (name == "set_role") {
    const auto role = aCommand.at("role").get<std::string>();
    if (role != "both" && role != "prefill" && role != "decode") {
      return false;
    }
    mRole = role;
  } else {
    return false;
  }
  return true;
}

bool engine_control::Serves(const std::string& aModel, time_point aNow) const
{
  const auto found = mModels.find(aModel);
  if (found == mModels.end()) {
    return mAdapters.contains(aModel);
  }
  return found->second.mReady <= aNow;
}

json engine_control::State(time_point aNow) const
{
  json models = json::array();
  for (const auto& [name, model] : mModels) {
    models.push_back({ { "name", name },
                       { "version", model.mVersion },
                       { "ready", model.mReady <= aNow } });
  }
  return { { "token", mToken },     { "role", mRole },
           { "models", models },    { "adapters", mAdapters },
           { "applied", mApplied }, { "rejected", mRejected } };
}

std::vector<std::string> engine_control::Models(time_point aNow) const
{
  std::vector<std::string> names;
  for (const auto& [name, model] : mModels) {
    if (model.mReady <= aNow) {
      names.push_back(name);
    }
  }
  return names;
}
