#include "Node/Trace.h"

#include <gtest/gtest.h>

namespace {

constexpr const char* kHeader =
  "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

} // namespace

// Guards against a trace header that changes on the way through the router.
TEST(Trace, HeaderRoundTrips)
{
  const auto parent = ParseTraceParent(kHeader);
  ASSERT_TRUE(parent.has_value());
  EXPECT_TRUE(parent->mSampled);
  EXPECT_EQ(FormatTraceParent(*parent), kHeader);
}

// Guards against malformed headers of callers being forwarded to upstreams.
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

// Guards against spans of the router that are not linked to the caller's trace.
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

// Guards against recording spans of traces that are not sampled.
TEST(Trace, RecordsNothingWhenNotSampled)
{
  tracer tracer(0.0, 1);
  trace_span request = tracer.StartRequest("chat", std::nullopt);
  request.Finish();
  EXPECT_EQ(tracer.Dump(), "");
}
