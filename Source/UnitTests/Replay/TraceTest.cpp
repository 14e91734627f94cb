#include "Replay/Trace.h"

#include <sstream>

#include <gtest/gtest.h>

#include "Replay/ReplayScenarios.h"

namespace {

const char* const kHeader =
  R"({"format":"lentilswitch-trace","version":1,"name":"t","seed":1,)"
  R"("duration_ms":1000,"nodes":[{"id":"n","zone":"z"}],)"
  R"("engines":[{"id":"e","zone":"z","slots":4,"models":["m"]}],)"
  R"("accounts":[]})";

json_error ErrorOf(const std::string& aText)
{
  std::istringstream input(aText);
  const auto read = ReadTrace(input, "file");
  EXPECT_FALSE(read.has_value());
  return read.has_value() ? json_error() : read.error();
}

} // namespace

// Guards against fields that are written and not read back.
TEST(Trace, RoundTrips)
{
  for (const scenario_kind kind :
       { scenario_kind::CrashingRequest, scenario_kind::ThreeUpstreamsLost }) {
    const trace written = MakeScenario(deployment_kind::Dormivia, kind).mTrace;
    std::stringstream file;
    WriteTrace(written, file);
    const auto read = ReadTrace(file, "file");
    ASSERT_TRUE(read.has_value()) << FormatJsonError(read.error());
    EXPECT_TRUE(read.value() == written);
  }
}

// Guards against results that change from run to run.
TEST(Trace, ScenariosHaveFixedSeeds)
{
  const auto make = [](std::uint64_t aSeed) {
    return MakeScenario(
             deployment_kind::Trituradores, scenario_kind::UrgentFlood, aSeed)
      .mTrace;
  };
  EXPECT_TRUE(make(1) == make(1));
  EXPECT_FALSE(make(1) == make(2));
}

// Guards against a trace of a later version that is read with wrong meanings.
TEST(Trace, RejectsAnUnknownVersion)
{
  std::string header = kHeader;
  header.replace(header.find("\"version\":1"), 11, "\"version\":2");
  EXPECT_NE(ErrorOf(header).mMessage.find("version 2"), std::string::npos);
}

// Guards against errors that do not say where they are.
TEST(Trace, ErrorsNameTheLine)
{
  const std::string header = std::string(kHeader) + "\n";
  EXPECT_EQ(ErrorOf("").mLine, 0);
  EXPECT_EQ(ErrorOf("{}\n").mLine, 1);
  EXPECT_EQ(ErrorOf(header + "{\"t\":\n").mLine, 2);
  EXPECT_EQ(ErrorOf(header + R"({"t":1,"event":"fire"})").mLine, 2);
  const std::string event =
    R"({"t":5,"event":"upstream_lost","upstream":"e","period_ms":1})";
  const std::string earlier =
    R"({"t":4,"event":"upstream_lost","upstream":"e","period_ms":1})";
  EXPECT_EQ(ErrorOf(header + event + "\n" + earlier).mLine, 3);
}
