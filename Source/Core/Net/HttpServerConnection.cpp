#include <utility>

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include "Net/HttpConnection.h"
#include "Net/HttpMessageParser.h"
#include "Net/HttpStatus.h"
#include "Net/ParserFeed.h"

namespace {

namespace http = boost::beast::http;

// A client that acknowledges neither data nor keep-alive probes for this long
// is treated as disconnected.
constexpr tcp_liveness kClientLiveness{ std::chrono::milliseconds(10000) };
// Most input buffered while a request is in progress; beyond it reading stops
// until the response is complete.
constexpr std::size_t kMaxPipelinedBytes = 65536;
// Time and input after a response that ends the connection early, in which the
// client may read it.
constexpr std::chrono::milliseconds kDiscardTimeout(2000);
constexpr std::size_t kMaxDiscardedBytes = 1048576;
// Most memory that a connection keeps for later input.
constexpr std::size_t kMaxIdleCapacity = 4096;
// Longest text that names a request in logs.
constexpr std::size_t kMaxDescriptionBytes = 256;

unsigned RejectionStatus(const boost::system::error_code& aError)
{
  if (aError == http::error::header_limit) {
    return http_status::kHeaderFieldsTooLarge;
  }
  return aError == http::error::body_limit ? http_status::kContentTooLarge
                                           : http_status::kBadRequest;
}

std::string FormatHead(const http_server_response& aResponse, bool aKeepAlive)
{
  const auto reason =
    http::obsolete_reason(static_cast<http::status>(aResponse.mStatus));
  std::string head =
    fmt::format("HTTP/1.1 {} {}\r\n",
                aResponse.mStatus,
                std::string_view(reason.data(), reason.size()));
  for (const auto& [name, value] : aResponse.mHeaders) {
    head.append(name).append(": ").append(value).append("\r\n");
  }
  if (aResponse.mFraming == body_framing::Chunked) {
    head.append("Transfer-Encoding: chunked\r\n");
  }
  if (!aKeepAlive) {
    head.append("Connection: close\r\n");
  }
  head.append("\r\n");
  return head;
}

bool HasBody(unsigned aStatus)
{
  return aStatus >= 200 && aStatus != 204 && aStatus != 304;
}

} // namespace

struct http_server_connection::parser_state
{
  explicit parser_state(const http_server_limits& aLimits)
    : mParser(aLimits.mHeaderBytes, aLimits.mBodyBytes)
    , mFeed(aLimits.mHeaderBytes)
  {
  }

  http_message_parser<true> mParser;
  parser_feed mFeed;
  bool mHeadTaken = false;
};

std::pair<http_server_response, std::string> http_request_handler::RefuseInput()
{
  return { { http_status::kServiceUnavailable, {} }, {} };
}

http_server_connection::http_server_connection(
  int aDescriptor,
  const http_server_limits& aLimits,
  http_request_handler& aHandler,
  time_point aNow)
  : mLimits(aLimits)
  , mHandler(aHandler)
  , mDeadline(aNow + aLimits.mIdleTimeout)
  , mNow(aNow)
{
  StartRequest();
  mStream = tcp_stream::Adopt(aDescriptor, kClientLiveness, *this);
}

http_server_connection::~http_server_connection()
{
  mStream->Close();
}

void http_server_connection::SetLimits(const http_server_limits& aLimits)
{
  if (!mBusy && !mRequestStarted) {
    mDeadline += aLimits.mIdleTimeout - mLimits.mIdleTimeout;
  }
  mLimits = aLimits;
}

std::size_t http_server_connection::InputBytes() const
{
  return mInput.size() + mParser->mParser.HeldBytes() +
         (mStream->Reading() ? 0 : tcp_listener::kReceiveBufferBytes);
}

std::string http_server_connection::DescribeRequest() const
{
  return mDescription;
}

void http_server_connection::StartRequest()
{
  mParser = std::make_unique<parser_state>(mLimits);
  mRequestStarted = false;
}

void http_server_connection::OnData(std::string_view aBytes)
{
  if (mDiscarding || mShedding) {
    Discard(aBytes.size());
    return;
  }
  if (!mHandler.MayHold(InputBytes(), aBytes.size())) {
    ShedInput();
    return;
  }
  mHandler.OnHeld(aBytes.size());
  if (mInput.empty() && !mRequestStarted) {
    mInputSince = mNow;
  }
  mInput.append(aBytes);
  if (mBusy || mAwaitsReads) {
    // The client's close is not seen while reading is stopped, so reading only
    // stops for a client that exceeds the buffer limit.
    if (mInput.size() > kMaxPipelinedBytes) {
      mStream->SetReading(false);
    }
    return;
  }
  ParseInput();
}

void http_server_connection::Discard(std::size_t aBytes)
{
  mDiscardedBytes += aBytes;
  if (mDiscardedBytes <= kMaxDiscardedBytes) {
    return;
  }
  if (mBusy) {
    mStream->Reset();
    OnEnd(tcp_end_reason::Broken);
  } else {
    mStream->Close();
  }
}

void http_server_connection::ShedInput()
{
  if (mDiscarding || mShedding || Closed()) {
    return;
  }
  if (!mBusy && !mAwaitsReads) {
    RefuseInput();
    return;
  }
  mShedding = true;
  mClosing = true;
  mInput = std::string();
  mStream->SetReading(true);
  if (std::exchange(mAwaitsReads, false)) {
    EndResponse();
  }
}

void http_server_connection::ParseInput()
{
  mParsing = true;
  std::size_t start = 0;
  while (!mBusy && !mDiscarding && start < mInput.size() && !Closed()) {
    if (!mRequestStarted && !MayBeginRequest()) {
      break;
    }
    if (!mRequestStarted) {
      mRequestStarted = true;
      mDeadline = mNow + mLimits.mHeaderTimeout;
    }
    auto& parser = mParser->mParser;
    boost::system::error_code error;
    const std::size_t consumed = mParser->mFeed.Feed(
      parser, std::string_view(mInput).substr(start), error);
    start += consumed;
    if (error && error != http::error::need_more) {
      RejectInput(RejectionStatus(error));
      break;
    }
    if (parser.is_header_done() && !std::exchange(mParser->mHeadTaken, true)) {
      TakeHead(mInput.size() - start);
      continue;
    }
    if (parser.is_done()) {
      DeliverRequest();
    } else if (consumed == 0) {
      break;
    }
  }
  mInput.erase(0, mDiscarding ? mInput.size() : start);
  if (mInput.empty() && mInput.capacity() > kMaxIdleCapacity) {
    mInput = std::string();
  }
  mParsing = false;
  if (!mBusy && !mAwaitsReads) {
    mStream->SetReading(true);
  }
}

bool http_server_connection::MayBeginRequest()
{
  mAwaitsReads = mStream->PendingBytes() > mHandler.UnsentLimit();
  return !mAwaitsReads;
}

void http_server_connection::TakeHead(std::size_t aBuffered)
{
  const auto& parser = mParser->mParser;
  mDescription = fmt::format("{} {}", parser.Method(), parser.Target())
                   .substr(0, kMaxDescriptionBytes);
  mIsHeadRequest = parser.Method() == "HEAD";
  const std::size_t length = parser.content_length().value_or(0);
  if (length > aBuffered && length <= mLimits.mBodyBytes &&
      !mHandler.MayHold(InputBytes(), length - aBuffered)) {
    RefuseInput();
    return;
  }
  if (parser.is_done()) {
    DeliverRequest();
    return;
  }
  SendContinue();
}

void http_server_connection::SendContinue()
{
  if (mParser->mParser.ExpectsContinue()) {
    mStream->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void http_server_connection::DeliverRequest()
{
  auto& parser = mParser->mParser;
  if (!mHandler.MayHold(InputBytes(), parser.HeaderBytes())) {
    RefuseInput();
    return;
  }
  http_server_request request;
  request.mMethod = parser.TakeMethod();
  request.mTarget = parser.TakeTarget();
  request.mHeaders = parser.TakeHeaders();
  request.mBody = parser.TakeBody();
  request.mKeepAlive = parser.keep_alive();
  mKeepAlive = request.mKeepAlive;
  mBusy = true;
  mHadRequest = true;
  StartRequest();
  mHandler.OnRequest(*this, std::move(request));
}

void http_server_connection::RejectInput(unsigned aStatus)
{
  http_server_response response;
  response.mStatus = aStatus;
  RespondAndDiscard(response, {});
}

void http_server_connection::RefuseInput()
{
  const auto [response, body] = mHandler.RefuseInput();
  RespondAndDiscard(response, body);
}

void http_server_connection::RespondAndDiscard(
  const http_server_response& aResponse,
  std::string_view aBody)
{
  mKeepAlive = false;
  mDiscarding = true;
  mInput = std::string();
  Respond(aResponse, aBody);
}

void http_server_connection::Respond(const http_server_response& aResponse,
                                     std::string_view aBody)
{
  http_server_response response = aResponse;
  response.mFraming = body_framing::Length;
  if (HasBody(response.mStatus)) {
    response.mHeaders.emplace_back("Content-Length",
                                   fmt::format("{}", aBody.size()));
  }
  StartResponse(response);
  if (!mIsHeadRequest) {
    mStream->Write(aBody);
  }
  EndResponse();
}

void http_server_connection::StartResponse(
  const http_server_response& aResponse)
{
  mFraming = aResponse.mFraming;
  if (mClosing || mFraming == body_framing::UntilClose) {
    mKeepAlive = false;
  }
  if (mFraming == body_framing::UntilClose) {
    // An orderly close would mark the body as complete.
    mStream->SetResetOnClose();
  }
  mStream->Write(FormatHead(aResponse, mKeepAlive));
}

void http_server_connection::WriteBody(std::string_view aBytes)
{
  if (aBytes.empty() || mIsHeadRequest) {
    return;
  }
  if (mFraming != body_framing::Chunked) {
    mStream->Write(aBytes);
    return;
  }
  std::string chunk = fmt::format("{:x}\r\n", aBytes.size());
  chunk.append(aBytes).append("\r\n");
  mStream->Write(chunk);
}

void http_server_connection::FinishBody()
{
  if (mFraming == body_framing::Chunked && !mIsHeadRequest) {
    mStream->Write("0\r\n\r\n");
  }
  EndResponse();
}

void http_server_connection::EndResponse()
{
  mBusy = false;
  mDescription.clear();
  mIsHeadRequest = false;
  if (mDiscarding || mShedding) {
    mDiscarding = true;
    mDeadline = mNow + kDiscardTimeout;
    mRequestStarted = false;
    StartRequest();
    mStream->SetReading(true);
    mStream->FinishWriting();
    return;
  }
  mDeadline = mNow + mLimits.mIdleTimeout;
  if (!mKeepAlive || mClosing) {
    Finish();
    return;
  }
  if (mParsing) {
    return;
  }
  if (mInput.empty()) {
    mStream->SetReading(true);
  } else {
    // The handler may still be at work on the request that ended here.
    mNextRequest.Once(std::chrono::milliseconds(0), [this] { ParseInput(); });
  }
}

void http_server_connection::Finish()
{
  mStream->CloseAfterDrain();
  if (mStream->Closed() && !std::exchange(mCloseReported, true)) {
    mHandler.OnConnectionClosed(*this);
  }
}

void http_server_connection::Abort()
{
  mBusy = false;
  mStream->Reset();
  if (!std::exchange(mCloseReported, true)) {
    mHandler.OnConnectionClosed(*this);
  }
}

void http_server_connection::CloseWhenIdle()
{
  mClosing = true;
  // A client that has just connected is about to send its request, and one may
  // have arrived since the last iteration of the loop; both are answered before
  // the connection closes.
  if (mHadRequest && !HasRequest() && !mStream->HasUnreadBytes()) {
    Finish();
  }
}

bool http_server_connection::Idle() const
{
  return !HasRequest() && !mDiscarding && PendingBytes() == 0;
}

void http_server_connection::CloseIdle()
{
  mClosing = true;
  Finish();
}

void http_server_connection::CheckDeadline(time_point aNow)
{
  mNow = aNow;
  // A client that does not read is ended by the handler, or by TCP.
  if (mBusy || mAwaitsReads || Closed()) {
    if (Closed() && !std::exchange(mCloseReported, true)) {
      mHandler.OnConnectionClosed(*this);
    }
    return;
  }
  if (aNow < mDeadline) {
    return;
  }
  if (mDiscarding) {
    mStream->Close();
    return;
  }
  if (mRequestStarted && !mParser->mParser.is_header_done()) {
    RejectInput(http_status::kRequestTimeout);
  } else if (!mRequestStarted) {
    mClosing = true;
    Finish();
  } else {
    // The body gets one more idle timeout.
    mDeadline = aNow + mLimits.mIdleTimeout;
    if (std::exchange(mKeepAlive, false) == false) {
      RejectInput(http_status::kRequestTimeout);
    }
  }
}

void http_server_connection::OnDrained()
{
  if (mBusy) {
    mHandler.OnClientDrained(*this);
  } else if (std::exchange(mAwaitsReads, false)) {
    mDeadline = mNow + mLimits.mIdleTimeout;
    ParseInput();
  }
}

void http_server_connection::OnEnd(tcp_end_reason)
{
  if (mBusy) {
    mHandler.OnClientDisconnected(*this);
    mBusy = false;
  }
  if (!std::exchange(mCloseReported, true)) {
    mHandler.OnConnectionClosed(*this);
  }
}
