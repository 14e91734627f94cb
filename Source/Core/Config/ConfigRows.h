#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Common/Result.h"
#include "Common/Time.h"

/// Rows of the configuration in the table service, as JSON texts.

inline constexpr std::string_view kConfigHeadKey = "config/head";
inline constexpr std::string_view kConfigChangePrefix = "config/change/";
inline constexpr std::string_view kConfigSectionPrefix = "config/section/";

/// Format of the rows that this program writes. Rows with a higher format were
/// written by a newer program and cannot be read.
inline constexpr std::uint64_t kConfigFormat = 1;

/// Row `config/head`.
struct config_head
{
  /// Number of the latest change; 0 before the first.
  std::uint64_t mVersion = 0;
  /// Digest of all section names and versions at this version.
  std::uint64_t mDigest = 0;
  auto operator<=>(const config_head&) const = default;
};

/// Row `config/change/<n>`: change number `n`.
struct config_change
{
  std::uint64_t mVersion = 0;
  std::string mSection;
  /// Version of the section before the change; 0 if it did not exist.
  std::uint64_t mPrevious = 0;
  bool mRemoved = false;
  /// Digest after the change.
  std::uint64_t mDigest = 0;
  /// Id of the operator key.
  std::string mOperator;
  std::string mNote;
  wall_time mAt{};
  auto operator<=>(const config_change&) const = default;
};

/// Row `config/section/<name>`. The row of a removed section remains without a
/// text, so that a stale reply cannot be mistaken for a removal.
struct config_section
{
  std::string mName;
  /// Number of the change that wrote the row.
  std::uint64_t mVersion = 0;
  std::optional<std::string> mText;
  auto operator<=>(const config_section&) const = default;
};

/// Why a stored row cannot be used.
enum class config_row_error : std::uint8_t
{
  Malformed,
  /// Written in a newer format.
  NewerFormat,
};

template<class T>
using config_row_result = result<T, config_row_error>;

/// Key with the zero-padded change number, so that keys sort by number.
std::string ConfigChangeKey(std::uint64_t aVersion);
std::string ConfigSectionKey(std::string_view aName);

std::string WriteConfigHead(const config_head& aHead);
std::string WriteConfigChange(const config_change& aChange);
std::string WriteConfigSection(const config_section& aSection);

config_row_result<config_head> ReadConfigHead(std::string_view aText);
config_row_result<config_change> ReadConfigChange(std::string_view aText);
config_row_result<config_section> ReadConfigSection(std::string_view aText);

/// Contribution of one section to the digest; contributions are combined by
/// exclusive or. A section that never existed (version 0) contributes 0.
std::uint64_t SectionDigest(std::string_view aName, std::uint64_t aVersion);
