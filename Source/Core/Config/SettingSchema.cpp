#include "Config/SettingSchema.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <optional>

#include <fmt/format.h>

#include "Common/Identity.h"
#include "Config/SocketAddress.h"

using json = nlohmann::json;

/// One key in the tree of settings.
struct schema_node
{
  /// Null for the root and for a group without a descriptor of its own.
  const setting_descriptor* mDescriptor = nullptr;
  bool mList = false;
  bool mMap = false;
  /// Keys and nodes in the order of the descriptor table.
  std::vector<std::pair<std::string, std::unique_ptr<schema_node>>> mChildren;

  schema_node* Child(std::string_view aKey) const
  {
    for (const auto& [key, node] : mChildren) {
      if (key == aKey) {
        return node.get();
      }
    }
    return nullptr;
  }
};

namespace {

constexpr std::size_t kSha256Digits = 64;

bool IsNameCharacter(char aCharacter)
{
  const bool letter = (aCharacter >= 'a' && aCharacter <= 'z') ||
                      (aCharacter >= 'A' && aCharacter <= 'Z');
  const bool digit = aCharacter >= '0' && aCharacter <= '9';
  return letter || digit ||
         std::string_view("-_./").find(aCharacter) != std::string_view::npos;
}

bool IsHexDigit(char aCharacter)
{
  return (aCharacter >= '0' && aCharacter <= '9') ||
         (aCharacter >= 'a' && aCharacter <= 'f') ||
         (aCharacter >= 'A' && aCharacter <= 'F');
}

bool IsUrl(std::string_view aText)
{
  const bool scheme =
    aText.starts_with("http://") || aText.starts_with("https://");
  const std::size_t host = aText.find("//");
  return scheme && aText.size() > host + 2 && !aText.ends_with('/') &&
         aText.find_first_of(" \t\r\n") == std::string_view::npos;
}

std::string RangeText(const setting_descriptor& aDescriptor)
{
  return fmt::format("{:.15g} to {:.15g}{}{}",
                     aDescriptor.mMin,
                     aDescriptor.mMax,
                     aDescriptor.mUnit.empty() ? "" : " ",
                     aDescriptor.mUnit);
}

bool InRange(const setting_descriptor& aDescriptor, double aValue)
{
  return aValue >= aDescriptor.mMin && aValue <= aDescriptor.mMax;
}

using setting_error = std::optional<std::string>;

setting_error CheckText(const setting_descriptor& aDescriptor,
                        const std::string& aText)
{
  if (!InRange(aDescriptor, static_cast<double>(aText.size()))) {
    return fmt::format("length {} is outside {} to {} bytes",
                       aText.size(),
                       aDescriptor.mMin,
                       aDescriptor.mMax);
  }
  if (aDescriptor.mType == setting_type::Name &&
      !std::ranges::all_of(aText, IsNameCharacter)) {
    return fmt::format("\"{}\" is not a name", aText);
  }
  return std::nullopt;
}

setting_error CheckInteger(const setting_descriptor& aDescriptor,
                           const json& aValue)
{
  if (!aValue.is_number_integer()) {
    return "must be an integer";
  }
  if (!InRange(aDescriptor, aValue.get<double>())) {
    return fmt::format(
      "{} is outside {}", aValue.dump(), RangeText(aDescriptor));
  }
  return std::nullopt;
}

setting_error CheckNumber(const setting_descriptor& aDescriptor,
                          const json& aValue)
{
  if (!aValue.is_number() || !std::isfinite(aValue.get<double>())) {
    return "must be a number";
  }
  if (!InRange(aDescriptor, aValue.get<double>())) {
    return fmt::format(
      "{} is outside {}", aValue.dump(), RangeText(aDescriptor));
  }
  return std::nullopt;
}

setting_error CheckRank(const std::string& aText)
{
  if (ParseWorkRank(aText).has_value()) {
    return std::nullopt;
  }
  const std::string nearest =
    NearestWord(aText, { "urgent", "routine", "background" });
  return nearest.empty()
           ? fmt::format("unknown rank \"{}\"", aText)
           : fmt::format(
               "unknown rank \"{}\", did you mean \"{}\"?", aText, nearest);
}

setting_error CheckStringValue(const setting_descriptor& aDescriptor,
                               const std::string& aText)
{
  switch (aDescriptor.mType) {
    case setting_type::Address:
      return ParseSocketAddress(aText) ? setting_error()
                                       : "must be IP:port, not a host name";
    case setting_type::Url:
      return IsUrl(aText)
               ? setting_error()
               : "must be an http:// or https:// URL without a final slash";
    case setting_type::Rank:
      return CheckRank(aText);
    case setting_type::Sha256:
      return aText.size() == kSha256Digits &&
                 std::ranges::all_of(aText, IsHexDigit)
               ? setting_error()
               : "must be 64 hexadecimal digits";
    default:
      return CheckText(aDescriptor, aText);
  }
}

setting_error CheckScalar(const setting_descriptor& aDescriptor,
                          const json& aValue)
{
  switch (aDescriptor.mType) {
    case setting_type::Integer:
      return CheckInteger(aDescriptor, aValue);
    case setting_type::Number:
      return CheckNumber(aDescriptor, aValue);
    case setting_type::Flag:
      return aValue.is_boolean() ? setting_error() : "must be true or false";
    default:
      break;
  }
  if (!aValue.is_string()) {
    return fmt::format("must be {}", SettingTypeName(aDescriptor.mType));
  }
  return CheckStringValue(aDescriptor, aValue.get_ref<const std::string&>());
}

std::string EscapeKey(std::string_view aKey)
{
  std::string escaped;
  for (const char character : aKey) {
    if (character == '~') {
      escaped += "~0";
    } else if (character == '/') {
      escaped += "~1";
    } else {
      escaped.push_back(character);
    }
  }
  return escaped;
}

std::string ChildPointer(const std::string& aPointer, std::string_view aKey)
{
  return aPointer + "/" + EscapeKey(aKey);
}

/// Checks a JSON value against the tree of settings and fills in defaults.
class schema_checker
{
public:
  schema_checker(json_text& aText, std::vector<json_error>& aErrors)
    : mText(aText)
    , mErrors(aErrors)
  {
  }

  void CheckObject(const schema_node& aNode,
                   json& aValue,
                   const std::string& aPointer)
  {
    if (!aValue.is_object()) {
      Add(aPointer, "must be an object");
      return;
    }
    ReportUnknownKeys(aNode, aValue, aPointer);
    for (const auto& [key, child] : aNode.mChildren) {
      CheckMember(key, *child, aValue, aPointer);
    }
  }

private:
  void Add(const std::string& aPointer, std::string aMessage)
  {
    mErrors.push_back(mText.ErrorAt(aPointer, std::move(aMessage)));
  }

  void ReportUnknownKeys(const schema_node& aNode,
                         const json& aValue,
                         const std::string& aPointer)
  {
    for (const auto& item : aValue.items()) {
      if (aNode.Child(item.key()) != nullptr) {
        continue;
      }
      std::vector<std::string> known;
      for (const auto& [key, child] : aNode.mChildren) {
        known.push_back(key);
      }
      const std::string nearest = NearestWord(item.key(), known);
      std::string message = fmt::format("unknown key \"{}\"", item.key());
      if (!nearest.empty()) {
        message += fmt::format(", did you mean \"{}\"?", nearest);
      }
      Add(ChildPointer(aPointer, item.key()), std::move(message));
    }
  }

  void CheckMember(const std::string& aKey,
                   const schema_node& aNode,
                   json& aParent,
                   const std::string& aPointer)
  {
    const std::string pointer = ChildPointer(aPointer, aKey);
    auto found = aParent.find(aKey);
    if (found == aParent.end()) {
      if (!FillAbsent(aKey, aNode, aParent, aPointer)) {
        return;
      }
      found = aParent.find(aKey);
    }
    if (aNode.mList) {
      CheckList(aNode, *found, pointer);
    } else if (aNode.mMap) {
      CheckMap(aNode, *found, pointer);
    } else {
      CheckValue(aNode, *found, pointer);
    }
  }

  /// Fills in the default of an absent member or reports that it is missing.
  /// True when a group was added whose own members still have to be checked.
  bool FillAbsent(const std::string& aKey,
                  const schema_node& aNode,
                  json& aParent,
                  const std::string& aPointer)
  {
    const bool group = !aNode.mChildren.empty() && !aNode.mList && !aNode.mMap;
    if (group) {
      aParent[aKey] = json::object();
      return true;
    }
    const setting_descriptor& descriptor = *aNode.mDescriptor;
    if (descriptor.mDefault.empty()) {
      Add(aPointer, fmt::format("missing key \"{}\"", aKey));
      return false;
    }
    if (descriptor.mDefault != "null") {
      aParent[aKey] = json::parse(descriptor.mDefault);
    }
    return false;
  }

  void CheckValue(const schema_node& aNode,
                  json& aValue,
                  const std::string& aPointer)
  {
    if (!aNode.mChildren.empty()) {
      CheckObject(aNode, aValue, aPointer);
      return;
    }
    const setting_error found = CheckScalar(*aNode.mDescriptor, aValue);
    if (found.has_value()) {
      Add(aPointer, *found);
    }
  }

  void CheckCount(const schema_node& aNode,
                  const json& aValue,
                  const std::string& aPointer)
  {
    const setting_descriptor* descriptor = aNode.mDescriptor;
    if (descriptor == nullptr || descriptor->mType != setting_type::Object) {
      return;
    }
    if (!InRange(*descriptor, static_cast<double>(aValue.size()))) {
      Add(aPointer,
          fmt::format("{} entries are outside {:.15g} to {:.15g}",
                      aValue.size(),
                      descriptor->mMin,
                      descriptor->mMax));
    }
  }

  void CheckList(const schema_node& aNode,
                 json& aValue,
                 const std::string& aPointer)
  {
    if (!aValue.is_array()) {
      Add(aPointer, "must be a list");
      return;
    }
    CheckCount(aNode, aValue, aPointer);
    for (std::size_t i = 0; i < aValue.size(); ++i) {
      CheckValue(aNode, aValue[i], fmt::format("{}/{}", aPointer, i));
    }
  }

  void CheckMap(const schema_node& aNode,
                json& aValue,
                const std::string& aPointer)
  {
    if (!aValue.is_object()) {
      Add(aPointer, "must be an object");
      return;
    }
    CheckCount(aNode, aValue, aPointer);
    for (auto& item : aValue.items()) {
      const std::string pointer = ChildPointer(aPointer, item.key());
      const std::string& key = item.key();
      if (key.empty() || !std::ranges::all_of(key, IsNameCharacter)) {
        Add(pointer, fmt::format("\"{}\" is not a name", key));
      }
      CheckValue(aNode, item.value(), pointer);
    }
  }

  json_text& mText;
  std::vector<json_error>& mErrors;
};

void InsertSetting(schema_node& aRoot, const setting_descriptor& aDescriptor)
{
  schema_node* node = &aRoot;
  std::string_view remainingPath = aDescriptor.mPath;
  while (!remainingPath.empty()) {
    const std::size_t dot = remainingPath.find('.');
    std::string_view key = remainingPath.substr(0, dot);
    remainingPath =
      dot == std::string_view::npos ? "" : remainingPath.substr(dot + 1);
    const bool list = key.ends_with("[]");
    const bool map = key.ends_with("{}");
    key.remove_suffix(list || map ? 2 : 0);
    schema_node* child = node->Child(key);
    if (child == nullptr) {
      node->mChildren.emplace_back(key, std::make_unique<schema_node>());
      child = node->mChildren.back().second.get();
      child->mList = list;
      child->mMap = map;
    }
    node = child;
  }
  node->mDescriptor = &aDescriptor;
}

std::size_t EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= aRight.size(); ++j) {
      const std::size_t replace =
        diagonal + (aLeft[i - 1] == aRight[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({ replace, row[j] + 1, row[j - 1] + 1 });
    }
  }
  return row[aRight.size()];
}

} // namespace

setting_schema::setting_schema(std::span<const setting_descriptor> aDescriptors)
  : mDescriptors(aDescriptors)
  , mRoot(std::make_unique<schema_node>())
{
  for (const setting_descriptor& descriptor : aDescriptors) {
    InsertSetting(*mRoot, descriptor);
  }
}

setting_schema::~setting_schema() = default;

std::span<const setting_descriptor> setting_schema::Descriptors() const
{
  return mDescriptors;
}

void setting_schema::CheckAndFill(json_text& aText,
                                  std::vector<json_error>& aErrors) const
{
  schema_checker(aText, aErrors).CheckObject(*mRoot, aText.mValue, "");
}

config_result<json_text> ReadWithSchema(std::string_view aText,
                                        std::string_view aSource,
                                        const setting_schema& aSchema,
                                        const setting_check& aCheck)
{
  config_errors errors;
  auto text = ParseJsonText(aText, aSource, &errors.mErrors);
  if (text.has_error()) {
    errors.mErrors.push_back(text.error());
    return errors;
  }
  aSchema.CheckAndFill(text.value(), errors.mErrors);
  if (aCheck) {
    aCheck(text.value(), errors.mErrors);
  }
  if (!errors.mErrors.empty()) {
    std::ranges::stable_sort(errors.mErrors, {}, &json_error::mLine);
    return errors;
  }
  return std::move(text.value());
}

std::string StringAt(const json_text& aText, const std::string& aPointer)
{
  const json::json_pointer pointer(aPointer);
  if (!aText.mValue.contains(pointer)) {
    return {};
  }
  const json& value = aText.mValue[pointer];
  return value.is_string() ? value.get<std::string>() : std::string();
}

std::string NearestWord(std::string_view aWord,
                        const std::vector<std::string>& aCandidates)
{
  // With more than a third of the letters different (at least two), the
  // candidate is taken for another word rather than for a typo.
  std::size_t nearest = std::max<std::size_t>(2, aWord.size() / 3) + 1;
  std::string word;
  for (const std::string& candidate : aCandidates) {
    const std::size_t distance = EditDistance(aWord, candidate);
    if (distance < nearest && distance < candidate.size()) {
      nearest = distance;
      word = candidate;
    }
  }
  return word;
}

std::string_view SettingTypeName(setting_type aType)
{
  switch (aType) {
    case setting_type::Object:
      return "object";
    case setting_type::Text:
      return "text";
    case setting_type::Name:
      return "name";
    case setting_type::Address:
      return "IP:port";
    case setting_type::Url:
      return "URL";
    case setting_type::Integer:
      return "integer";
    case setting_type::Number:
      return "number";
    case setting_type::Flag:
      return "true or false";
    case setting_type::Rank:
      return "rank";
    case setting_type::Sha256:
      return "SHA-256 in hexadecimal";
  }
  return "value";
}
