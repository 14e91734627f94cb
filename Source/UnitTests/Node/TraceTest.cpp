#include "Node/Trace.h"

#include <gtest/gtest.h>

namespace {

constexpr const char* kHeader =
  "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

} // namespace

TEST(Trace, HeaderRoundTrips)
{
  const auto parent = ParseTraceParent(kHeader);
  ASSERT_TRUE(parent.has_value());
  EXPECT_TRUE(parent->mSampled);
  EXPECT_EQ(FormatTraceParent(*parent), kHeader);
}

// Guards against malformed headers from callers being carried on.
TEST(Trace, RefusesMalformedHeaders)
{
  EXPECT_FALSE(ParseTraceParent(""));
  EXPECT_FALSE(ParseTraceParent(
    "00-00000000000000000000000000000000-b7ad6b7169203331-01"));
  EXPECT_FALSE(ParseTraceParent(
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b716920333-011"));
  EXPECT_FALSE(ParseTraceParent(
    "00-zzf7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"));
}

// Guards against a trace that falls apart at the router.
TEST(Trace, ChildrenContinueTheCallersTrace)
{
  tracer tracer(0.0, 1);
  trace_span request = tracer.StartRequest("chat", ParseTraceParent(kHeader));
  trace_span child = tracer.StartChild("upstream", request);
  EXPECT_EQ(child.Context().mTraceHigh, request.Context().mTraceHigh);
  EXPECT_NE(child.Context().mSpan, request.Context().mSpan);
  child.Finish();
  request.Finish();
  const std::string dump = tracer.Dump();
  EXPECT_NE(dump.find("\"parent_span_id\":\"b7ad6b7169203331\""),
            std::string::npos);
  EXPECT_NE(dump.find("\"name\":\"upstream\""), std::string::npos);
}

TEST(Trace, RecordsNothingWhenNotSampled)
{
  tracer tracer(0.0, 1);
  trace_span request = tracer.StartRequest("chat", std::nullopt);
  request.Finish();
  EXPECT_EQ(tracer.Dump(), "");
}
