#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "Gateway/GatewayTypes.h"

/// Checks a configuration of the gateway before it is put in force. Does no
/// input or output.

/// Part of the configuration that a finding is about.
enum class config_part : std::uint8_t
{
  /// The document as a whole, for example its version.
  Document,
  Routes,
  Services,
  Accounts,
  Limits,
};

enum class finding_severity : std::uint8_t
{
  /// Nothing has to be changed.
  Note,
  /// The entry has no effect, or not the one that it states.
  Problem,
};

struct config_finding
{
  finding_severity mSeverity = finding_severity::Problem;
  config_part mPart = config_part::Document;
  /// Index in the list of the part; 0 for parts without a list.
  std::size_t mIndex = 0;
  /// What is wrong, with the values.
  std::string mText;
  auto operator<=>(const config_finding&) const = default;
};

/// Finds entries that can never match and limits that contradict each other.
/// `aRegions` are the regions of the deployment's hosts and servers; homes are
/// not checked if it is empty. Keys are named by a hash, never in clear.
std::vector<config_finding> CheckConfig(const gateway_config& aConfig,
                                        const std::set<region_id>& aRegions);

/// Lists what differs from the configuration in force, as notes. A version that
/// is not newer is a problem, because nodes ignore it. The indices are those of
/// `aConfig`, and those of `aInForce` for removed entries.
std::vector<config_finding> CompareConfigs(const gateway_config& aInForce,
                                           const gateway_config& aConfig);
