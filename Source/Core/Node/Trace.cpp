#include "Node/Trace.h"

#include <chrono>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "Common/Identity.h"

namespace {

constexpr std::size_t kMaxSpans = 4096;
constexpr std::size_t kTraceParentLength = 55;
constexpr std::string_view kVersionPrefix = "00-";
constexpr std::size_t kTraceIdOffset = 3;
constexpr std::size_t kSpanIdOffset = 36;
constexpr std::size_t kFlagsOffset = 53;

std::string TagText(const opentracing::Value& aValue)
{
  return aValue.is<std::string>() ? aValue.get<std::string>() : std::string();
}

/// Whether bit 0 of the trace flags, `sampled`, is set in the last hex digit.
bool IsSampled(char aLowDigit)
{
  const std::size_t value =
    std::string_view("0123456789abcdef").find(aLowDigit);
  return value != std::string_view::npos && (value & 1U) != 0;
}

} // namespace

std::optional<trace_parent> ParseTraceParent(std::string_view aHeader)
{
  const bool wellFormed = aHeader.size() == kTraceParentLength &&
                          aHeader.starts_with(kVersionPrefix) &&
                          aHeader[35] == '-' && aHeader[52] == '-';
  if (!wellFormed) {
    return std::nullopt;
  }
  trace_parent parent;
  if (!ParseHex(aHeader.substr(kTraceIdOffset, 32),
                parent.mTraceHigh,
                parent.mTraceLow)) {
    return std::nullopt;
  }
  const std::string padded =
    std::string(16, '0') + std::string(aHeader.substr(kSpanIdOffset, 16));
  std::uint64_t high = 0;
  if (!ParseHex(padded, high, parent.mSpan)) {
    return std::nullopt;
  }
  parent.mSampled = IsSampled(aHeader[kFlagsOffset + 1]);
  if ((parent.mTraceHigh | parent.mTraceLow) == 0 || parent.mSpan == 0) {
    return std::nullopt;
  }
  return parent;
}

std::string FormatTraceParent(const trace_parent& aParent)
{
  return fmt::format("00-{}-{:016x}-{}",
                     FormatHex(aParent.mTraceHigh, aParent.mTraceLow),
                     aParent.mSpan,
                     aParent.mSampled ? "01" : "00");
}

span_buffer::span_buffer(std::deque<std::string>& aLines)
  : mLines(aLines)
{
}

void span_buffer::RecordSpan(opentracing::mocktracer::SpanData&& aSpan) noexcept
{
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  nlohmann::json line = {
    { "name", aSpan.operation_name },
    { "start_us",
      duration_cast<microseconds>(aSpan.start_timestamp.time_since_epoch())
        .count() },
    { "duration_us", duration_cast<microseconds>(aSpan.duration).count() },
  };
  for (const auto& [key, value] : aSpan.tags) {
    line[key] = TagText(value);
  }
  mLines.push_back(
    line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  if (mLines.size() > kMaxSpans) {
    mLines.pop_front();
  }
}

trace_span::trace_span(std::unique_ptr<opentracing::Span> aSpan,
                       trace_parent aContext)
  : mSpan(std::move(aSpan))
  , mContext(aContext)
{
}

void trace_span::SetTag(std::string_view aKey, std::string_view aValue)
{
  if (mSpan) {
    mSpan->SetTag({ aKey.data(), aKey.size() }, std::string(aValue));
  }
}

void trace_span::Finish()
{
  if (mSpan) {
    mSpan->Finish();
    mSpan.reset();
  }
}

tracer::tracer(double aSampling, std::uint64_t aSeed)
  : mSampling(aSampling)
  , mRandom(aSeed)
{
  opentracing::mocktracer::MockTracerOptions options;
  options.recorder = std::make_unique<span_buffer>(mLines);
  mTracer =
    std::make_shared<opentracing::mocktracer::MockTracer>(std::move(options));
}

trace_span tracer::StartRequest(std::string_view aName,
                                const std::optional<trace_parent>& aCaller)
{
  if (aCaller) {
    return Start(aName, *aCaller, aCaller->mSpan);
  }
  std::uniform_real_distribution<double> distribution(0.0, 1.0);
  const trace_parent newTrace{
    mRandom(), mRandom() | 1U, 0, distribution(mRandom) < mSampling
  };
  return Start(aName, newTrace, 0);
}

trace_span tracer::StartChild(std::string_view aName, const trace_span& aParent)
{
  return Start(aName, aParent.Context(), aParent.Context().mSpan);
}

trace_span tracer::Start(std::string_view aName,
                         trace_parent aContext,
                         std::uint64_t aParentSpan)
{
  aContext.mSpan = mRandom() | 1U;
  if (!aContext.mSampled) {
    return { nullptr, aContext };
  }
  auto span = mTracer->StartSpan({ aName.data(), aName.size() });
  span->SetTag("trace_id", FormatHex(aContext.mTraceHigh, aContext.mTraceLow));
  span->SetTag("span_id", fmt::format("{:016x}", aContext.mSpan));
  if (aParentSpan != 0) {
    span->SetTag("parent_span_id", fmt::format("{:016x}", aParentSpan));
  }
  return { std::move(span), aContext };
}

std::string tracer::Dump() const
{
  std::string text;
  for (const std::string& line : mLines) {
    text.append(line);
    text.push_back('\n');
  }
  return text;
}
