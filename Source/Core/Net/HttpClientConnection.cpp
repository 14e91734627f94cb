#include <algorithm>
#include <limits>
#include <utility>

#include <boost/beast/http/error.hpp>

#include "Common/Hash.h"
#include "Net/HttpConnection.h"
#include "Net/HttpMessageParser.h"
#include "Net/ParserFeed.h"

namespace {

namespace http = boost::beast::http;

// Longest response header, trailer or line of a chunk size; model servers send
// a few hundred bytes.
constexpr std::uint32_t kMaxPartBytes = 32768;
// Limits of what a server may send that is no response: interim responses, and
// bytes of the body of a response to another request.
constexpr unsigned kMaxInterimResponses = 16;
constexpr std::size_t kMaxDiscardedBytes = 262144;
constexpr unsigned kFirstFinalStatus = 200;
// Requests of a connection whose identities are kept: 2 KiB.
constexpr std::size_t kMaxRecordedRequests = 256;

bool IsDigit(char aCharacter)
{
  return aCharacter >= '0' && aCharacter <= '9';
}

/// Whether a text contains the begin of a status line.
bool ContainsStatusLine(std::string_view aText)
{
  constexpr std::string_view kVersion = "HTTP/1.";
  // Minor version, space and status.
  constexpr std::size_t kRestLength = 5;
  for (auto found = aText.find(kVersion); found != std::string_view::npos;
       found = aText.find(kVersion, found + 1)) {
    const auto rest = aText.substr(found + kVersion.size(), kRestLength);
    if (rest.size() == kRestLength && IsDigit(rest[0]) && rest[1] == ' ' &&
        std::ranges::all_of(rest.substr(2), IsDigit)) {
      return true;
    }
  }
  return false;
}

/// Whether the head of a response contains that of another one, because the
/// server broke off within the first.
bool IsTorn(const http_message_parser<false>& aParser)
{
  return ContainsStatusLine(aParser.Reason()) ||
         ContainsStatusLine(aParser.FieldText());
}

} // namespace

struct http_client_connection::parser_state
{
  // Without a limit Beast 1.74 rejects every response with a known length.
  http_message_parser<false> mParser{
    kMaxPartBytes,
    std::numeric_limits<std::uint64_t>::max()
  };
  parser_feed mFeed{ kMaxPartBytes };
};

std::string_view ExchangeFailureName(exchange_failure aFailure)
{
  switch (aFailure) {
    case exchange_failure::NotSent:
      return "not_sent";
    case exchange_failure::NoResponse:
      return "no_response";
    case exchange_failure::Truncated:
      return "truncated";
    case exchange_failure::Malformed:
      return "malformed";
  }
  return "unknown";
}

http_client_connection::http_client_connection(const tcp_address& aAddress,
                                               tcp_liveness aLiveness)
  : mAddress(aAddress)
  , mStream(tcp_stream::Connect(aAddress, aLiveness, *this))
{
}

http_client_connection::~http_client_connection()
{
  Cancel();
}

void http_client_connection::Start(std::string_view aHead,
                                   std::string_view aBody,
                                   bool aIsHeadRequest,
                                   http_client_exchange_observer& aObserver)
{
  mObserver = &aObserver;
  if (Closed()) {
    // The connection could not be opened, or has ended since.
    mNotSent.Once(std::chrono::milliseconds(0),
                  [this] { Fail(exchange_failure::NotSent); });
    return;
  }
  mIsHeadRequest = aIsHeadRequest;
  mDiscardingResponse = false;
  mDiscardedBytes = 0;
  mInterimResponses = 0;
  mInput.clear();
  ++mUses;
  StartParser();
  mStream->SetReading(true);
  std::string message;
  message.reserve(aHead.size() + aBody.size());
  message.append(aHead).append(aBody);
  mStream->Write(message);
}

void http_client_connection::StartParser()
{
  mParser = std::make_unique<parser_state>();
  mParser->mParser.skip(mIsHeadRequest);
  mHeadReceived = false;
}

void http_client_connection::Cancel()
{
  mNotSent.Cancel();
  mObserver = nullptr;
  if (mStream) {
    mStream->Close();
  }
}

void http_client_connection::Reset()
{
  mNotSent.Cancel();
  const bool inProgress = std::exchange(mObserver, nullptr) != nullptr;
  if (!mStream) {
    return;
  }
  if (inProgress) {
    // Drops what the kernel still holds of the request.
    mStream->Reset();
  } else {
    mStream->Close();
  }
}

void http_client_connection::SetReading(bool aReading)
{
  if (mStream) {
    mStream->SetReading(aReading);
  }
}

void http_client_connection::RecordRequest(std::string_view aRequestId)
{
  const std::uint64_t hash = StableHash(aRequestId);
  if (mRequests.size() < kMaxRecordedRequests) {
    mRequests.push_back(hash);
    return;
  }
  mRequests[mNextRecord] = hash;
  mNextRecord = (mNextRecord + 1) % kMaxRecordedRequests;
}

bool http_client_connection::IsAmbiguousFor(std::string_view aRequestId) const
{
  return mUses > 0 && (aRequestId.empty() ||
                       std::ranges::find(mRequests, StableHash(aRequestId)) !=
                         mRequests.end());
}

void http_client_connection::OnData(std::string_view aBytes)
{
  if (mObserver == nullptr) {
    // Bytes that arrive while no request is in progress belong to no response.
    mStream->Close();
    return;
  }
  if (mInput.empty()) {
    Parse(aBytes);
    return;
  }
  mInput.append(aBytes);
  const std::string input = std::exchange(mInput, {});
  Parse(input);
}

void http_client_connection::Parse(std::string_view aBytes)
{
  while (!aBytes.empty() && mObserver != nullptr && !Closed()) {
    auto& parser = mParser->mParser;
    boost::system::error_code error;
    const std::size_t consumed = mParser->mFeed.Feed(parser, aBytes, error);
    aBytes.remove_prefix(consumed);
    const bool needMore = error == http::error::need_more;
    if (error && !needMore) {
      Fail(exchange_failure::Malformed);
      return;
    }
    if (parser.is_header_done() && !mHeadReceived) {
      if (IsTorn(parser)) {
        Fail(exchange_failure::Malformed);
        return;
      }
      if (parser.Status() < kFirstFinalStatus) {
        if (++mInterimResponses > kMaxInterimResponses) {
          Fail(exchange_failure::Malformed);
          return;
        }
        StartParser();
        continue;
      }
      if (!DeliverHead()) {
        return;
      }
    }
    const std::string body = parser.TakeBody();
    if (mDiscardingResponse) {
      mDiscardedBytes += body.size();
      if (mDiscardedBytes > kMaxDiscardedBytes) {
        Fail(exchange_failure::NoResponse);
        return;
      }
    }
    if (mHeadReceived && !body.empty() && !mDiscardingResponse) {
      mObserver->OnBody(body);
      if (mObserver == nullptr || Closed()) {
        return;
      }
    }
    if (parser.is_done()) {
      if (mDiscardingResponse) {
        mDiscardingResponse = false;
        StartParser();
        continue;
      }
      // Bytes after the response belong to no request, so the connection cannot
      // be reused.
      if (!aBytes.empty()) {
        mStream->Close();
      }
      CompleteResponse();
      return;
    }
    if (needMore && consumed == 0) {
      break;
    }
  }
  if (mObserver != nullptr && !aBytes.empty()) {
    mInput.assign(aBytes);
  }
}

bool http_client_connection::DeliverHead()
{
  mHeadReceived = true;
  auto& parser = mParser->mParser;
  http_client_response response;
  response.mStatus = parser.Status();
  response.mHeaders = parser.TakeHeaders();
  response.mKeepAlive = parser.keep_alive();
  if (parser.chunked()) {
    response.mFraming = body_framing::Chunked;
  } else if (parser.need_eof()) {
    response.mFraming = body_framing::UntilClose;
  }
  const bool unframed = response.mFraming == body_framing::UntilClose;
  mDiscardingResponse = !mObserver->OnResponse(*this, std::move(response));
  if (mObserver == nullptr || Closed()) {
    return false;
  }
  if (mDiscardingResponse && unframed) {
    Fail(exchange_failure::NoResponse);
    return false;
  }
  return true;
}

void http_client_connection::CompleteResponse()
{
  const bool reusable =
    !Closed() && mParser->mParser.keep_alive() && mStream->PendingBytes() == 0;
  http_client_exchange_observer* observer = std::exchange(mObserver, nullptr);
  if (!reusable) {
    mStream->Close();
  }
  mParser.reset();
  observer->OnComplete(reusable);
}

void http_client_connection::Fail(exchange_failure aFailure)
{
  http_client_exchange_observer* observer = std::exchange(mObserver, nullptr);
  if (mStream) {
    mStream->Close();
  }
  if (observer != nullptr) {
    observer->OnExchangeFailed(aFailure);
  }
}

void http_client_connection::OnEnd(tcp_end_reason aReason)
{
  if (mObserver == nullptr) {
    return;
  }
  if (aReason == tcp_end_reason::ConnectFailed) {
    Fail(exchange_failure::NotSent);
    return;
  }
  if (mHeadReceived && !mDiscardingResponse &&
      aReason == tcp_end_reason::Finished) {
    boost::system::error_code error;
    mParser->mParser.put_eof(error);
    if (!error && mParser->mParser.is_done()) {
      http_client_exchange_observer* observer =
        std::exchange(mObserver, nullptr);
      observer->OnComplete(false);
      return;
    }
  }
  const bool answered = mHeadReceived && !mDiscardingResponse;
  Fail(answered ? exchange_failure::Truncated : exchange_failure::NoResponse);
}
