#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include <opentracing/mocktracer/recorder.h>
#include <opentracing/mocktracer/tracer.h>

/// Position in a distributed trace in the form of the W3C Trace Context
/// header `traceparent`.
struct trace_parent
{
  std::uint64_t mTraceHigh = 0;
  std::uint64_t mTraceLow = 0;
  std::uint64_t mSpan = 0;
  bool mSampled = false;
  auto operator<=>(const trace_parent&) const = default;
};

/// Parses a `traceparent` header; returns nothing when it is malformed.
std::optional<trace_parent> ParseTraceParent(std::string_view aHeader);

std::string FormatTraceParent(const trace_parent& aParent);

/// Keeps the most recent finished spans as JSON lines and drops the oldest.
class span_buffer final : public opentracing::mocktracer::Recorder
{
public:
  explicit span_buffer(std::deque<std::string>& aLines);
  void RecordSpan(opentracing::mocktracer::SpanData&& aSpan) noexcept override;

private:
  std::deque<std::string>& mLines;
};

/// One span of a request; finished at the latest by the destructor. Records
/// nothing when the trace is not sampled.
class trace_span
{
public:
  trace_span() = default;
  trace_span(std::unique_ptr<opentracing::Span> aSpan, trace_parent aContext);

  void SetTag(std::string_view aKey, std::string_view aValue);
  void Finish();
  /// Trace position to send to the next hop in the `traceparent` header.
  const trace_parent& Context() const { return mContext; }

private:
  std::unique_ptr<opentracing::Span> mSpan;
  trace_parent mContext;
};

/// Creates the spans of this node.
class tracer
{
public:
  /// @param aSampling fraction of the traces started here that are recorded,
  ///   0 to 1
  tracer(double aSampling, std::uint64_t aSeed);

  /// Starts the span of a caller's request. Continues the caller's trace if
  /// there is one.
  trace_span StartRequest(std::string_view aName,
                          const std::optional<trace_parent>& aCaller);
  /// Starts the span of one hop of a request.
  trace_span StartChild(std::string_view aName, const trace_span& aParent);

  /// Finished spans as JSON lines, oldest first.
  std::string Dump() const;

private:
  trace_span Start(std::string_view aName,
                   trace_parent aContext,
                   std::uint64_t aParentSpan);

  double mSampling;
  std::mt19937_64 mRandom;
  std::deque<std::string> mLines;
  std::shared_ptr<opentracing::mocktracer::MockTracer> mTracer;
};
