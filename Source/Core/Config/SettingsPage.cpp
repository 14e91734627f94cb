#include "Config/SettingsPage.h"

#include <fmt/format.h>

#include "Config/FleetSections.h"
#include "Config/NodeSettings.h"

namespace {

// Settings of `gateway_settings`, which are not read by a schema.
constexpr const char* kGatewaySettings = R"(
## Gateway settings that only some deployments have

The platform writes them from `platform/settings.json.in`; an error names file, line and key.

| setting | type | range | default | meaning |
| --- | --- | --- | --- | --- |
| `evacuation_limit_ms` | number | 1 to 600000 ms | optional | Longest time from the acknowledgement of an evacuation to the last request that reaches the zone. |
| `cold_over` | number | 0 to 1000 | `1` | Factor of the requests a second that a cold server states, for the requests of any one second. |
| `cold_slack` | number | 0 to 1000000 requests | `0` | Requests that a cold server may get in any one second beyond that. |
| `shed_by_rank` | true or false |  | `false` | Overloaded services shed load by rank and account, see `design/admission.md`. |
| `learn_server_capacity` | true or false |  | `false` | The speed and the concurrency limit of each engine are estimated and used, see `design/server-capacity.md`. |
| `zones[].name` | name |  | required | Availability zone. |
| `zones[].region` | name |  | required | Region of the zone; homes of routes and accounts have an effect if there are at least two. |
)";

std::string FormatRange(const setting_descriptor& aSetting)
{
  switch (aSetting.mType) {
    case setting_type::Address:
    case setting_type::Url:
    case setting_type::Flag:
    case setting_type::Rank:
    case setting_type::Sha256:
      return "";
    case setting_type::Object:
      return fmt::format(
        "{:.15g} to {:.15g} entries", aSetting.mMin, aSetting.mMax);
    default:
      return fmt::format("{:.15g} to {:.15g}{}{}",
                         aSetting.mMin,
                         aSetting.mMax,
                         aSetting.mUnit.empty() ? "" : " ",
                         aSetting.mUnit);
  }
}

std::string FormatDefault(const setting_descriptor& aSetting)
{
  if (aSetting.mDefault.empty()) {
    return "required";
  }
  if (aSetting.mDefault == "null") {
    return "optional";
  }
  return fmt::format("`{}`", aSetting.mDefault);
}

std::string FormatTable(const setting_schema& aSchema)
{
  std::string text = "| setting | type | range | default | meaning |\n"
                     "| --- | --- | --- | --- | --- |\n";
  for (const setting_descriptor& setting : aSchema.Descriptors()) {
    text += fmt::format("| `{}` | {} | {} | {} | {} |\n",
                        setting.mPath,
                        SettingTypeName(setting.mType),
                        FormatRange(setting),
                        FormatDefault(setting),
                        setting.mHelp);
  }
  return text;
}

} // namespace

std::string SettingsPage()
{
  std::string text =
    "# Settings reference\n\n"
    "Generated from the descriptor tables in `Source/Core/Config`; do not edit "
    "by hand.\n\n"
    "A dot separates the keys of nested objects. `key[]` is each entry of a "
    "list, and\n`key{}` each value of an object whose keys are chosen freely. "
    "The range of a list or\nobject is its number of entries; the range of a "
    "text is its length.\n\n";
  text += "## Node settings\n\n" + FormatTable(NodeSettingSchema());
  text += "\n## Section `capacity`\n\n" + FormatTable(CapacitySchema());
  text += "\n## Sections `billing` and `billing/<part>`\n\n" +
          FormatTable(BillingSchema());
  text += "\n## Sections `accounts/<name>`\n\n" + FormatTable(AccountSchema());
  text += kGatewaySettings;
  return text;
}
