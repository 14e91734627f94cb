#include "Config/FleetDocument.h"

#include <random>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "FleetFixture.h"

namespace {

fleet_document Base()
{
  return fleet_document()
    .With({ { "capacity", kCapacityText },
            { "billing", kBillingText },
            { "accounts/clinic", AccountText("key-1") } })
    .value();
}

std::string Errors(const fleet_document& aDocument,
                   const std::vector<section_change>& aChanges)
{
  const auto document = aDocument.With(aChanges);
  return document.has_error() ? FormatConfigErrors(document.error()) : "";
}

} // namespace

TEST(FleetDocument, FindsAccountByKeyHash)
{
  const fleet_document document = Base();
  const auto account = document.FindAccountByKey(HashApiKey("key-1"));
  ASSERT_NE(account, nullptr);
  EXPECT_EQ(account->mId.mName, "clinic");
  EXPECT_EQ(document.FindAccountByKey(HashApiKey("key-2")), nullptr);
  EXPECT_EQ(
    document.FindBudget({ "prepaid" })->mPrices.Find({ "quick" })->mOutput,
    3000U);
}

// Guards against a replaced or removed account that can still be found by its
// old key, and against a change that modifies the original document.
TEST(FleetDocument, ChangedCopyLeavesOriginalUnchanged)
{
  const fleet_document before = Base();
  const auto after =
    before.With({ { "accounts/clinic", AccountText("key-2") },
                  { "accounts/depot", AccountText("key-1") } });
  ASSERT_TRUE(after.has_value());
  EXPECT_EQ(before.FindAccountByKey(HashApiKey("key-1"))->mId.mName, "clinic");
  EXPECT_EQ(after.value().FindAccountByKey(HashApiKey("key-1"))->mId.mName,
            "depot");
  EXPECT_FALSE(before == after.value());
  const auto back =
    after.value().With({ { "accounts/depot", std::nullopt },
                         { "accounts/clinic", AccountText("key-1") } });
  ASSERT_TRUE(back.has_value());
  EXPECT_TRUE(before == back.value());
  EXPECT_EQ(back.value().AccountCount(), 1U);
}

// Guards against requests of one account being charged to another.
TEST(FleetDocument, RejectsSharedKeyHash)
{
  EXPECT_EQ(Errors(Base(), { { "accounts/depot", AccountText("key-1") } }),
            "accounts/depot:1: /key_hashes/0: account \"clinic\" has the same "
            "key\n");
}

// Guards against accounts that refer to a missing budget or model.
TEST(FleetDocument, RejectsUnknownReferences)
{
  std::string text = AccountText("key-2");
  text.replace(text.find("\"quick\""), 7, "\"quik\"");
  text.replace(text.find("prepaid"), 7, "postpaid");
  EXPECT_EQ(Errors(Base(), { { "accounts/depot", text } }),
            "accounts/depot:4: /budget: unknown budget \"postpaid\"\n"
            "accounts/depot:3: /allowed_models/0: unknown model \"quik\", did "
            "you mean \"quick\"?\n");
  EXPECT_NE(Errors(Base(), { { "accounts/other", AccountText("key-3") } })
              .find("does not list account \"other\""),
            std::string::npos);
}

// Guards against a change of one section that breaks references from others.
TEST(FleetDocument, RejectsRemovalOfUsedEntries)
{
  EXPECT_NE(Errors(Base(), { { "billing", std::nullopt } })
              .find("accounts/clinic: /budget: unknown budget"),
            std::string::npos);
  EXPECT_NE(Errors(Base(), { { "capacity", std::nullopt } })
              .find("billing: /prices/quick: unknown model"),
            std::string::npos);
  EXPECT_NE(Errors(Base(), { { "billing/more", kBillingText } })
              .find("another billing section has the same budget"),
            std::string::npos);
}

TEST(FleetDocument, ChecksSectionsOnTheirOwn)
{
  EXPECT_NE(
    Errors(Base(),
           { { "capacity", R"({"ranks": {"urgent": {"floor_share": 0.8}}})" } })
      .find("the floor shares add to 1.05, more than 1"),
    std::string::npos);
  std::string text = AccountText("key-2");
  text.replace(text.find("\"routine\""), 9, "\"rutine\"");
  EXPECT_NE(Errors(Base(), { { "accounts/depot", text } })
              .find(":2: /allowed_ranks/0: unknown rank \"rutine\", did you "
                    "mean \"routine\"?"),
            std::string::npos);
  text = AccountText("key-2");
  text.insert(1, "\"free_tier\": true,");
  EXPECT_NE(Errors(Base(), { { "accounts/depot", text } })
              .find("a free tier account may only use \"background\""),
            std::string::npos);
  EXPECT_NE(Errors(Base(), { { "acounts/depot", text } }).find("is not"),
            std::string::npos);
}

// Guards against comments being lost between a file and the stored section,
// and against errors that name a line of the section instead of the file.
TEST(FleetDocument, SplitsFileAndKeepsComments)
{
  const std::string file = fmt::format("{{\n  // Capacity team\n"
                                       "  \"capacity\": {},\n"
                                       "  \"billing\":\n {},\n"
                                       "  \"accounts\": {{\n"
                                       "    /* {{ \"x\" */\n"
                                       "    \"clinic\": {}\n  }}\n}}\n",
                                       kCapacityText,
                                       kBillingText,
                                       AccountText("key-1"));
  const auto slices = SplitDocument(file, "fleet.json");
  ASSERT_TRUE(slices.has_value());
  ASSERT_EQ(slices.value().size(), 3U);
  EXPECT_TRUE(slices.value()[0].mText.starts_with("// Capacity team\n"));
  EXPECT_EQ(slices.value()[2].mName, "accounts/clinic");
  EXPECT_TRUE(slices.value()[2].mText.starts_with("/* { \"x\" */\n"));
  EXPECT_TRUE(ParseFleetDocument(file, "fleet.json").value() == Base());
  EXPECT_TRUE(ParseFleetDocument("\xEF\xBB\xBF" + file, "f").value() == Base());

  std::string wrong = file;
  wrong.replace(wrong.find("\"budget\": \"prepaid\""), 19, "\"budgit\": 1");
  const std::string errors =
    FormatConfigErrors(ParseFleetDocument(wrong, "fleet.json").error());
  const int line =
    1 + static_cast<int>(std::count(
          wrong.begin(),
          wrong.begin() + static_cast<std::ptrdiff_t>(wrong.find("budgit")),
          '\n'));
  EXPECT_NE(errors.find(fmt::format("fleet.json:{}: /accounts/clinic/budgit: "
                                    "unknown key",
                                    line)),
            std::string::npos)
    << errors;
}

// Guards against an exception on keys that have to be escaped in JSON pointers.
TEST(FleetDocument, ChecksKeysWithEscapes)
{
  const std::string text =
    R"({ "models": { "a~b/c": {} }, "upstream_groups": { "~": { "hosts": [],
       "models": [ "x" ] }, "": 3 } })";
  const std::string errors = Errors(Base(), { { "capacity", text } });
  EXPECT_NE(errors.find("/models/a~0b~1c: \"a~b/c\" is not a name"),
            std::string::npos)
    << errors;
  EXPECT_NE(errors.find("/upstream_groups/~0/models/0: unknown model \"x\""),
            std::string::npos)
    << errors;
}

TEST(FleetDocument, MatchesCallsThatMustNotRepeat)
{
  const service_settings service{ { "orders" }, { { "POST", "/v1/orders*" } } };
  EXPECT_TRUE(IsNotRepeatable(service, "POST", "/v1/orders/7"));
  EXPECT_FALSE(IsNotRepeatable(service, "GET", "/v1/orders/7"));
  EXPECT_FALSE(IsNotRepeatable(service, "POST", "/v1/lookups"));
}

namespace {

/// A random section change, often with a reference to an absent entry.
section_change RandomChange(std::mt19937& aRandom)
{
  const auto pick = [&aRandom](int aCount) {
    return static_cast<int>(aRandom() % static_cast<unsigned>(aCount));
  };
  const int kind = pick(8);
  if (kind == 0) {
    std::string models;
    for (int i = 0; i < 3; ++i) {
      if (pick(6) > 0) {
        models += fmt::format("{}\"m{}\": {{ \"context_length\": 10, "
                              "\"default_output\": 1, \"max_output\": 2 }}",
                              models.empty() ? "" : ",",
                              i);
      }
    }
    return { "capacity", "{ \"models\": {" + models + "} }" };
  }
  if (kind <= 2) {
    std::string accounts;
    for (int i = 0; i < 4; ++i) {
      if (pick(5) > 0) {
        accounts += fmt::format("{}\"a{}\"", accounts.empty() ? "" : ",", i);
      }
    }
    return { fmt::format("billing/p{}", kind),
             fmt::format("{{ \"prices\": {{ \"m{}\": {{ \"prompt\": 1, "
                         "\"output\": 2 }} }}, \"budgets\": {{ \"b{}\": {{ "
                         "\"accounts\": [{}] }} }} }}",
                         pick(3),
                         pick(3),
                         accounts) };
  }
  const std::string name = fmt::format("accounts/a{}", pick(4));
  if (pick(5) == 0) {
    return { name, std::nullopt };
  }
  return { name,
           fmt::format("{{ \"key_hashes\": [\"{}\"], \"allowed_ranks\": "
                       "[\"routine\"], \"allowed_models\": [\"m{}\"], "
                       "\"budget\": \"b{}\" }}",
                       FormatApiKeyHash(HashApiKey(std::to_string(pick(6)))),
                       pick(3),
                       pick(3)) };
}

} // namespace

// Guards against differences between checking a change and checking the whole
// document: a missed broken reference or a wrong error.
TEST(FleetDocument, ChangeIsCheckedLikeWholeDocument)
{
  std::mt19937 random(7);
  std::map<std::string, std::string> texts;
  fleet_document document;
  int accepted = 0;
  for (int i = 0; i < 5000; ++i) {
    const section_change change = RandomChange(random);
    auto next = texts;
    next.erase(change.mName);
    if (change.mText) {
      next[change.mName] = *change.mText;
    }
    std::vector<section_change> allSections;
    allSections.reserve(next.size());
    for (const auto& [name, text] : next) {
      allSections.push_back({ name, text });
    }
    const auto expected = fleet_document().With(allSections);
    const auto changed = document.With({ change });
    ASSERT_EQ(changed.has_value(), expected.has_value())
      << i << " " << change.mName;
    if (changed.has_value()) {
      ASSERT_TRUE(changed.value() == expected.value()) << i;
      document = changed.value();
      texts = next;
      ++accepted;
    }
  }
  EXPECT_GT(accepted, 500);
}
