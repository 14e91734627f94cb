#include "Common/JsonText.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <fmt/format.h>

namespace {

using json = nlohmann::json;

// Maximum nesting. Deeper documents are rejected, so that recursive checks do
// not overflow the stack.
constexpr std::size_t kMaxDepth = 64;
// Maximum number of quoted characters, so that error messages do not grow with
// the input.
constexpr std::size_t kMaxQuotedCharacters = 40;

std::string EscapePointer(std::string_view aKey)
{
  std::string escaped;
  for (const char character : aKey) {
    if (character == '~') {
      escaped.append("~0");
    } else if (character == '/') {
      escaped.append("~1");
    } else {
      escaped.push_back(character);
    }
  }
  return escaped;
}

/// The last characters of a token, which may be as long as the input.
std::string_view LastCharacters(std::string_view aToken)
{
  const std::size_t size = std::min(aToken.size(), kMaxQuotedCharacters);
  return aToken.substr(aToken.size() - size);
}

/// Builds the value from parser events and records the line of each value.
/// `aLine` is updated by the iterator that the parser reads.
class line_builder final : public nlohmann::json_sax<json>
{
public:
  line_builder(json_text& aText,
               const int& aLine,
               std::vector<json_error>* aDuplicates)
    : mText(aText)
    , mLine(aLine)
    , mDuplicates(aDuplicates)
  {
  }

  bool null() override { return Add(nullptr); }
  bool boolean(bool aValue) override { return Add(aValue); }
  bool number_integer(number_integer_t aValue) override { return Add(aValue); }
  bool number_unsigned(number_unsigned_t aValue) override
  {
    return Add(aValue);
  }
  bool number_float(number_float_t aValue, const string_t&) override
  {
    return Add(aValue);
  }
  bool string(string_t& aValue) override { return Add(std::move(aValue)); }
  bool binary(binary_t&) override { return false; }
  bool start_object(std::size_t) override { return Open(json::object()); }
  bool start_array(std::size_t) override { return Open(json::array()); }
  bool end_object() override { return CloseContainer(); }
  bool end_array() override { return CloseContainer(); }

  bool key(string_t& aKey) override
  {
    container& top = mStack.back();
    top.mKey = aKey;
    if (!top.mValue->contains(aKey)) {
      return true;
    }
    if (mDuplicates == nullptr) {
      return Fail(ChildPointer(), fmt::format("duplicate key \"{}\"", aKey));
    }
    mDuplicates->push_back({ mText.mSource,
                             mLine,
                             ChildPointer(),
                             fmt::format("duplicate key \"{}\"", aKey) });
    return true;
  }

  bool parse_error(std::size_t,
                   const std::string& aToken,
                   const nlohmann::detail::exception&) override
  {
    mError = { mText.mSource,
               mLine,
               mStack.empty() ? std::string() : mStack.back().mPointer,
               fmt::format("syntax error near \"{}\"",
                           LastCharacters(aToken)) };
    return false;
  }

  const json_error& Error() const { return mError; }

private:
  struct container
  {
    json* mValue;
    std::string mPointer;
    std::string mKey;
  };

  std::string ChildPointer() const
  {
    if (mStack.empty()) {
      return {};
    }
    const container& top = mStack.back();
    if (top.mValue->is_array()) {
      return fmt::format("{}/{}", top.mPointer, top.mValue->size());
    }
    return fmt::format("{}/{}", top.mPointer, EscapePointer(top.mKey));
  }

  json* Attach(json aValue)
  {
    if (mStack.empty()) {
      mText.mValue = std::move(aValue);
      return &mText.mValue;
    }
    json& parent = *mStack.back().mValue;
    if (parent.is_array()) {
      parent.push_back(std::move(aValue));
      return &parent.back();
    }
    json& slot = parent[mStack.back().mKey];
    slot = std::move(aValue);
    return &slot;
  }

  bool Add(json aValue)
  {
    mText.mLines[ChildPointer()] = mLine;
    Attach(std::move(aValue));
    return true;
  }

  bool Open(json aValue)
  {
    const std::string pointer = ChildPointer();
    if (mStack.size() >= kMaxDepth) {
      return Fail(pointer, fmt::format("nested deeper than {}", kMaxDepth));
    }
    mText.mLines[pointer] = mLine;
    // Pointers into a parent array stay valid while a child is open, because
    // the parent grows only after the child is closed.
    mStack.push_back({ Attach(std::move(aValue)), pointer, {} });
    return true;
  }

  bool CloseContainer()
  {
    mStack.pop_back();
    return true;
  }

  bool Fail(std::string aPointer, std::string aMessage)
  {
    mError = { mText.mSource, mLine, std::move(aPointer), std::move(aMessage) };
    return false;
  }

  json_text& mText;
  const int& mLine;
  std::vector<json_error>* mDuplicates;
  std::vector<container> mStack;
  json_error mError;
};

/// Builds the value from parser events and rejects deep nesting.
class bounded_builder final : public nlohmann::detail::json_sax_dom_parser<json>
{
public:
  explicit bounded_builder(json& aValue)
    : json_sax_dom_parser(aValue, false)
  {
  }

  bool start_object(std::size_t aSize)
  {
    return mDepth++ < kMaxDepth && json_sax_dom_parser::start_object(aSize);
  }
  bool end_object()
  {
    --mDepth;
    return json_sax_dom_parser::end_object();
  }
  bool start_array(std::size_t aSize)
  {
    return mDepth++ < kMaxDepth && json_sax_dom_parser::start_array(aSize);
  }
  bool end_array()
  {
    --mDepth;
    return json_sax_dom_parser::end_array();
  }

private:
  std::size_t mDepth = 0;
};

/// Input iterator that counts lines while the parser reads. A line feed is
/// counted when the next character is consumed: the parser reads one character
/// beyond a number, so a number at the end of a line would otherwise get the
/// next line's number.
class line_counting_iterator
{
public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  line_counting_iterator(const char* aPosition, int* aLine)
    : mBegin(aPosition)
    , mPosition(aPosition)
    , mLine(aLine)
  {
  }

  reference operator*() const { return *mPosition; }
  line_counting_iterator& operator++()
  {
    if (mPosition != mBegin && mPosition[-1] == '\n') {
      ++*mLine;
    }
    ++mPosition;
    return *this;
  }
  line_counting_iterator operator++(int)
  {
    line_counting_iterator before = *this;
    ++*this;
    return before;
  }
  bool operator==(const line_counting_iterator& aOther) const
  {
    return mPosition == aOther.mPosition;
  }
  bool operator!=(const line_counting_iterator& aOther) const
  {
    return mPosition != aOther.mPosition;
  }

private:
  const char* mBegin;
  const char* mPosition;
  int* mLine;
};

} // namespace

std::string FormatJsonError(const json_error& aError)
{
  std::string text = aError.mSource;
  if (aError.mLine > 0) {
    text += fmt::format(":{}", aError.mLine);
  }
  if (!aError.mPointer.empty()) {
    text += fmt::format(": {}", aError.mPointer);
  }
  return text + ": " + aError.mMessage;
}

int json_text::LineOf(std::string_view aPointer) const
{
  std::string pointer(aPointer);
  while (true) {
    const auto found = mLines.find(pointer);
    if (found != mLines.end()) {
      return found->second;
    }
    const std::size_t slash = pointer.rfind('/');
    if (slash == std::string::npos) {
      return 0;
    }
    pointer.resize(slash);
  }
}

json_error json_text::ErrorAt(std::string_view aPointer,
                              std::string aMessage) const
{
  return {
    mSource, LineOf(aPointer), std::string(aPointer), std::move(aMessage)
  };
}

std::optional<json> ParseBoundedJson(std::string_view aText)
{
  std::optional<json> value(std::in_place);
  bounded_builder builder(*value);
  if (!json::sax_parse(aText.begin(), aText.end(), &builder)) {
    value.reset();
  }
  return value;
}

std::optional<std::int64_t> ReadWholeNumber(const json& aValue,
                                            std::int64_t aMin,
                                            std::int64_t aMax)
{
  if (!aValue.is_number_integer() ||
      (aValue.is_number_unsigned() &&
       std::cmp_greater(aValue.get<std::uint64_t>(), aMax))) {
    return std::nullopt;
  }
  const auto number = aValue.get<std::int64_t>();
  return number >= aMin && number <= aMax ? std::optional(number)
                                          : std::nullopt;
}

result<json_text, json_error> ParseJsonText(
  std::string_view aText,
  std::string_view aSource,
  std::vector<json_error>* aDuplicates)
{
  json_text text{ std::string(aSource), {}, {} };
  int line = 1;
  line_builder builder(text, line, aDuplicates);
  const char* begin = aText.data();
  const line_counting_iterator first(begin, &line);
  const line_counting_iterator last(begin + aText.size(), &line);
  const bool parsed = json::sax_parse(
    first, last, &builder, nlohmann::detail::input_format_t::json, true, true);
  if (!parsed) {
    return builder.Error();
  }
  return text;
}
