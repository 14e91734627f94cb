#include "Config/FleetDocument.h"

#include <algorithm>
#include <map>

#include <fmt/format.h>

namespace {

/// Position and text of one member of a JSON object.
struct member_slice
{
  std::string mKey;
  /// Start of the comments before the key.
  std::size_t mStart = 0;
  std::string_view mComments;
  std::size_t mValueStart = 0;
  std::string_view mValue;
};

/// Locates the members of an object in a text that the JSON parser accepted, so
/// it only has to recognize strings, comments and brackets.
class member_scanner
{
public:
  member_scanner(std::string_view aText, std::size_t aPosition)
    : mText(aText)
    , mPosition(aPosition)
  {
  }

  std::vector<member_slice> Members()
  {
    std::vector<member_slice> members;
    SkipBlanks();
    ++mPosition;
    while (true) {
      SkipWhitespace();
      const std::size_t start = mPosition;
      SkipBlanks();
      if (mPosition >= mText.size() || mText[mPosition] == '}') {
        return members;
      }
      members.push_back(Member(start));
      SkipBlanks();
      if (mPosition < mText.size() && mText[mPosition] == ',') {
        ++mPosition;
      }
    }
  }

private:
  member_slice Member(std::size_t aStart)
  {
    member_slice member;
    member.mStart = aStart;
    member.mComments = mText.substr(aStart, mPosition - aStart);
    const std::size_t key = mPosition;
    SkipString();
    member.mKey = nlohmann::json::parse(mText.substr(key, mPosition - key));
    SkipBlanks();
    ++mPosition;
    SkipBlanks();
    member.mValueStart = mPosition;
    SkipValue();
    member.mValue =
      mText.substr(member.mValueStart, mPosition - member.mValueStart);
    return member;
  }

  void SkipWhitespace()
  {
    mPosition =
      std::min(mText.find_first_not_of(" \t\r\n", mPosition), mText.size());
  }

  bool SkipComment()
  {
    const std::string_view remaining = mText.substr(mPosition);
    const bool line = remaining.starts_with("//");
    if (!line && !remaining.starts_with("/*")) {
      return false;
    }
    const std::size_t end =
      line ? remaining.find('\n') : remaining.find("*/", 2);
    mPosition = end == std::string_view::npos
                  ? mText.size()
                  : mPosition + end + (line ? 1 : 2);
    return true;
  }

  void SkipBlanks()
  {
    do {
      SkipWhitespace();
    } while (SkipComment());
  }

  void SkipString()
  {
    ++mPosition;
    while (mPosition < mText.size() && mText[mPosition] != '"') {
      mPosition += mText[mPosition] == '\\' ? 2 : 1;
    }
    ++mPosition;
  }

  void SkipValue()
  {
    int depth = 0;
    while (mPosition < mText.size()) {
      const char character = mText[mPosition];
      if (character == '"') {
        SkipString();
      } else if (SkipComment()) {
        continue;
      } else if (character == '{' || character == '[') {
        ++depth;
        ++mPosition;
      } else if (depth == 0 && (character == ',' || character == '}')) {
        return;
      } else {
        depth -= character == '}' || character == ']' ? 1 : 0;
        ++mPosition;
      }
      if (depth == 0 && (character == '}' || character == ']')) {
        return;
      }
    }
  }

  std::string_view mText;
  std::size_t mPosition;
};

int LineAt(std::string_view aText, std::size_t aPosition)
{
  const auto end = aText.begin() + static_cast<std::ptrdiff_t>(aPosition);
  return 1 + static_cast<int>(std::count(aText.begin(), end, '\n'));
}

document_slice MakeSlice(std::string_view aText,
                         std::string aName,
                         const member_slice& aMember)
{
  std::string text(aMember.mComments);
  // The key and everything between it and the value are left out except for
  // line feeds, so that line numbers of the section match the file.
  const std::size_t keyStart = aMember.mStart + aMember.mComments.size();
  text.append(LineAt(aText, aMember.mValueStart) - LineAt(aText, keyStart),
              '\n');
  text.append(aMember.mValue);
  text.push_back('\n');
  return { std::move(aName), std::move(text), LineAt(aText, aMember.mStart) };
}

/// Converts the source, pointer and line of section errors to those of the
/// file.
void MapErrorsToFile(const std::vector<document_slice>& aSlices,
                     std::string_view aSource,
                     std::vector<json_error>& aErrors)
{
  std::map<std::string, int> lines;
  for (const document_slice& slice : aSlices) {
    lines[slice.mName] = slice.mLine;
  }
  for (json_error& error : aErrors) {
    const int start = lines[error.mSource];
    error.mLine = std::max(error.mLine, 1) + start - 1;
    error.mPointer = fmt::format("/{}{}", error.mSource, error.mPointer);
    error.mSource = aSource;
  }
  std::ranges::stable_sort(aErrors, {}, &json_error::mLine);
}

} // namespace

config_result<std::vector<document_slice>> SplitDocument(
  std::string_view aText,
  std::string_view aSource)
{
  config_errors errors;
  const auto text = ParseJsonText(aText, aSource, &errors.mErrors);
  if (text.has_error()) {
    errors.mErrors.push_back(text.error());
  } else if (!text.value().mValue.is_object()) {
    errors.mErrors.push_back(text.value().ErrorAt("", "must be an object"));
  }
  if (!errors.mErrors.empty()) {
    return errors;
  }
  // The parser skips a byte order mark.
  const std::size_t start = aText.starts_with("\xEF\xBB\xBF") ? 3 : 0;
  std::vector<document_slice> slices;
  for (const member_slice& member : member_scanner(aText, start).Members()) {
    if (member.mKey != "accounts") {
      slices.push_back(MakeSlice(aText, member.mKey, member));
      continue;
    }
    if (!member.mValue.starts_with('{')) {
      errors.mErrors.push_back(
        text.value().ErrorAt("/accounts", "must be an object"));
      return errors;
    }
    for (const member_slice& account :
         member_scanner(aText, member.mValueStart).Members()) {
      slices.push_back(MakeSlice(aText, "accounts/" + account.mKey, account));
    }
  }
  return slices;
}

config_result<fleet_document> ParseFleetDocument(std::string_view aText,
                                                 std::string_view aSource)
{
  const auto slices = SplitDocument(aText, aSource);
  if (slices.has_error()) {
    return slices.error();
  }
  std::vector<section_change> changes;
  for (const document_slice& slice : slices.value()) {
    changes.push_back({ slice.mName, slice.mText });
  }
  auto document = fleet_document().With(changes);
  if (document.has_error()) {
    config_errors errors = document.error();
    MapErrorsToFile(slices.value(), aSource, errors.mErrors);
    return errors;
  }
  return document;
}
