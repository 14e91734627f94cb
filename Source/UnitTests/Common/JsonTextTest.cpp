#include "Common/JsonText.h"

#include <gtest/gtest.h>

// Guards against errors that name the wrong line of a configuration file.
TEST(JsonText, RecordsLinesAndAcceptsComments)
{
  const auto text = ParseJsonText("// head\n{\n  \"a\": 1, /* x */\n"
                                  "  \"b\": [true,\n    {\"c\": null}]\n}\n",
                                  "file");
  ASSERT_TRUE(text.has_value());
  EXPECT_EQ(text.value().LineOf("/a"), 3);
  EXPECT_EQ(text.value().LineOf("/b/1/c"), 5);
  EXPECT_EQ(text.value().LineOf("/b/1/missing"), 5);
  EXPECT_EQ(text.value().mValue["a"], 1);
}

// Guards against a duplicate key that silently replaces the first value.
TEST(JsonText, RefusesDuplicateKeys)
{
  const auto text = ParseJsonText("{\"a\": 1,\n\"a\": 2}", "file");
  ASSERT_TRUE(text.has_error());
  EXPECT_EQ(FormatJsonError(text.error()), "file:2: /a: duplicate key \"a\"");
}

// Guards against a stack overflow caused by deeply nested input.
TEST(JsonText, RefusesDeepNesting)
{
  const std::string deep(100000, '[');
  const auto text = ParseJsonText(deep, "file");
  ASSERT_TRUE(text.has_error());
  EXPECT_NE(text.error().mMessage.find("nested"), std::string::npos);
}

// Guards against an error message that quotes the whole input.
TEST(JsonText, LimitsQuotedTextInErrors)
{
  const auto text = ParseJsonText(std::string(1000000, ' '), "file");
  ASSERT_TRUE(text.has_error());
  EXPECT_LT(FormatJsonError(text.error()).size(), 200U);
}

// Guards against a syntax error that is reported on the wrong line.
TEST(JsonText, NamesTheLineOfASyntaxError)
{
  const auto text = ParseJsonText("{\n\n\"a\": }", "file");
  ASSERT_TRUE(text.has_error());
  EXPECT_EQ(text.error().mLine, 3);
}

// Guards against a number at the end of a line being reported on the next line.
TEST(JsonText, PlacesANumberBeforeALineFeed)
{
  const auto text = ParseJsonText("{\n\"a\": 1\n}\n", "file");
  ASSERT_TRUE(text.has_value());
  EXPECT_EQ(text.value().LineOf("/a"), 2);
}

// Guards against a duplicate key that hides the other errors of a file.
TEST(JsonText, CollectsDuplicateKeysWhenAsked)
{
  std::vector<json_error> duplicates;
  const auto text =
    ParseJsonText("{\"a\": 1,\n\"a\": 2,\n\"a\": 3}", "file", &duplicates);
  ASSERT_TRUE(text.has_value());
  EXPECT_EQ(duplicates.size(), 2U);
  EXPECT_EQ(text.value().mValue["a"], 3);
}
