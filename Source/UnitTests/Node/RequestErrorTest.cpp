#include "Node/RequestError.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

// Guards against an error body without code, run state or retry delay, and
// against invalid UTF-8 in a message making the body unreadable.
TEST(RequestError, BodyHasCodeRunAndRetry)
{
  const request_error error{ request_error_code::Overloaded,
                             "too \"many\" \xff",
                             run_state::NotRun,
                             std::chrono::milliseconds(1500) };
  const auto body = nlohmann::json::parse(FormatRequestError(error));
  EXPECT_EQ(body.at("error").at("code"), "overloaded");
  EXPECT_EQ(body.at("error").at("run"), "not_run");
  EXPECT_EQ(body.at("error").at("retry_after_ms"), 1500);
  EXPECT_EQ(RequestErrorStatus(error.mCode), 429U);
}
