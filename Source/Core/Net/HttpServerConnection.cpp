#include <utility>

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <fmt/format.h>

#include "Net/HttpStatus.h"

#include "Net/HttpConnection.h"

namespace {

namespace http = boost::beast::http;

// A client that acknowledges neither data nor keep-alive probes for this long
// is treated as disconnected.
constexpr tcp_liveness kClientLiveness{ std::chrono::milliseconds(10000) };
// Most input buffered while a request is in progress; beyond it reading stops
// until the response is complete.
constexpr std::size_t kMaxPipelinedBytes = 65536;

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
  http::request_parser<http::string_body> mParser;
  bool mContinueSent = false;
};

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
  return mInput.size() + mParser->mParser.get().body().size();
}

void http_server_connection::StartRequest()
{
  mParser = std::make_unique<parser_state>();
  mParser->mParser.eager(true);
  mParser->mParser.header_limit(mLimits.mHeaderBytes);
  mParser->mParser.body_limit(mLimits.mBodyBytes);
  mRequestStarted = false;
}

void http_server_connection::OnData(std::string_view aBytes)
{
  mInput.append(aBytes);
  if (mBusy) {
    // The client's close is not seen while reading is stopped, so reading only
    // stops for a client that exceeds the buffer limit.
    if (mInput.size() > kMaxPipelinedBytes) {
      mStream->SetReading(false);
    }
    return;
  }
  ParseInput();
}

void http_server_connection::ParseInput()
{
  while (!mBusy && !mInput.empty() && !Closed()) {
    if (!mRequestStarted) {
      mRequestStarted = true;
      mDeadline = mNow + mLimits.mHeaderTimeout;
    }
    auto& parser = mParser->mParser;
    boost::system::error_code error;
    const std::size_t consumed =
      parser.put(boost::asio::buffer(mInput.data(), mInput.size()), error);
    mInput.erase(0, consumed);
    const bool incomplete = error == http::error::need_more;
    if (error && !incomplete) {
      RejectInput(RejectionStatus(error));
      return;
    }
    if (parser.is_done()) {
      DeliverRequest();
      continue;
    }
    SendContinue();
    if (consumed == 0) {
      return;
    }
  }
}

void http_server_connection::SendContinue()
{
  const auto& parser = mParser->mParser;
  if (parser.is_header_done() && !mParser->mContinueSent &&
      boost::beast::iequals(parser.get()[http::field::expect],
                            "100-continue")) {
    mParser->mContinueSent = true;
    mStream->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void http_server_connection::DeliverRequest()
{
  auto message = mParser->mParser.release();
  http_server_request request;
  request.mMethod = std::string(message.method_string());
  request.mTarget = std::string(message.target());
  for (const auto& field : message) {
    request.mHeaders.emplace_back(std::string(field.name_string()),
                                  std::string(field.value()));
  }
  request.mBody = std::move(message.body());
  request.mKeepAlive = message.keep_alive();
  mKeepAlive = request.mKeepAlive;
  mIsHeadRequest = message.method() == http::verb::head;
  mBusy = true;
  mHadRequest = true;
  StartRequest();
  mHandler.OnRequest(*this, std::move(request));
}

void http_server_connection::RejectInput(unsigned aStatus)
{
  mKeepAlive = false;
  mBusy = true;
  http_server_response response;
  response.mStatus = aStatus;
  Respond(response, {});
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
  mDeadline = mNow + mLimits.mIdleTimeout;
  if (!mKeepAlive || mClosing) {
    Finish();
    return;
  }
  mStream->SetReading(true);
  ParseInput();
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

void http_server_connection::CheckDeadline(time_point aNow)
{
  mNow = aNow;
  if (mBusy || Closed()) {
    if (Closed() && !std::exchange(mCloseReported, true)) {
      mHandler.OnConnectionClosed(*this);
    }
    return;
  }
  if (aNow < mDeadline) {
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
