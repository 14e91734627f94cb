#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Config/ConfigError.h"

/// Type of a setting's value.
enum class setting_type : std::uint8_t
{
  /// Group of settings. The range of a list or map of groups is its entry
  /// count.
  Object,
  /// Text; the range is its length in bytes.
  Text,
  /// Letters, digits, `-`, `_`, `.` and `/`; the range is its length in bytes.
  Name,
  /// `IP:port` or `[IPv6]:port`.
  Address,
  /// `http://` or `https://` URL without a final slash.
  Url,
  Integer,
  Number,
  Flag,
  /// Name of a `work_rank`.
  Rank,
  /// 64 hexadecimal digits.
  Sha256,
};

/// One setting: its check, its default and its documentation.
struct setting_descriptor
{
  /// Keys joined by `.`; `key[]` is each entry of a list, `key{}` each value
  /// of an object whose keys are chosen by the operator.
  std::string_view mPath;
  setting_type mType = setting_type::Text;
  /// Inclusive range of the value, the length or the entry count.
  double mMin = 0;
  double mMax = 0;
  std::string_view mUnit;
  /// JSON text; empty for a required setting, `null` for an optional one.
  std::string_view mDefault;
  std::string_view mHelp;
};

struct schema_node;

/// Tree of setting descriptors that JSON texts are checked against.
class setting_schema
{
public:
  /// The descriptors must outlive the schema. A group precedes its settings.
  explicit setting_schema(std::span<const setting_descriptor> aDescriptors);
  ~setting_schema();
  setting_schema(const setting_schema&) = delete;
  setting_schema& operator=(const setting_schema&) = delete;

  std::span<const setting_descriptor> Descriptors() const;

  /// Checks a parsed text and appends every error to `aErrors`. Absent
  /// settings get their defaults in `aText.mValue`. When nothing was appended,
  /// all values have the described types and ranges.
  void CheckAndFill(json_text& aText, std::vector<json_error>& aErrors) const;

private:
  std::span<const setting_descriptor> mDescriptors;
  std::unique_ptr<schema_node> mRoot;
};

/// A check beyond the descriptors. It also runs on texts that failed them, so
/// it must not rely on the presence or type of any value.
using setting_check =
  std::function<void(const json_text&, std::vector<json_error>&)>;

/// Parses and checks a text and fills in defaults; reports every error.
config_result<json_text> ReadWithSchema(std::string_view aText,
                                        std::string_view aSource,
                                        const setting_schema& aSchema,
                                        const setting_check& aCheck = {});

/// String at a JSON pointer; empty when there is none.
std::string StringAt(const json_text& aText, const std::string& aPointer);

/// The candidate with the smallest edit distance to a mistyped word; empty when
/// none is close enough.
std::string NearestWord(std::string_view aWord,
                        const std::vector<std::string>& aCandidates);

/// Name of a type in error messages and on the settings page.
std::string_view SettingTypeName(setting_type aType);
