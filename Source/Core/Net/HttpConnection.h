#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Common/EventLoop.h"
#include "Common/HttpHeaders.h"
#include "Common/Time.h"
#include "Net/TcpStream.h"

/// HTTP/1.1 over `tcp_stream`, parsed by Boost.Beast.
///
/// Unlike a libsoup session, these classes never repeat a request, follow a
/// redirect or decode a body, and they report whether any byte of a request was
/// sent.

/// A complete request from a client.
struct http_server_request
{
  std::string mMethod;
  /// Path and query as received.
  std::string mTarget;
  http_headers mHeaders;
  std::string mBody;
  bool mKeepAlive = true;
};

/// How the end of a body is determined.
enum class body_framing : std::uint8_t
{
  /// `Content-Length`, or no body.
  Length,
  Chunked,
  /// The body ends with the connection.
  UntilClose,
};

/// Limits on what a client may send and on how long it may take.
struct http_server_limits
{
  /// Longest request header; a longer one gets status 431. At most
  /// `parser_feed::kMaxPartBytes` are accepted. The lines of chunk sizes and
  /// the trailer have the same limit.
  std::uint32_t mHeaderBytes = 16384;
  /// Longest request body; a longer one gets status 413.
  std::uint64_t mBodyBytes = 4194304;
  /// From the first byte of a request to the end of its header.
  std::chrono::milliseconds mHeaderTimeout{ 10000 };
  /// Between requests of one connection. A request whose header is complete has
  /// this much more time for its body.
  std::chrono::milliseconds mIdleTimeout{ 60000 };
};

/// Head of a response to a client.
struct http_server_response
{
  unsigned mStatus = 200;
  http_headers mHeaders;
  body_framing mFraming = body_framing::Length;
};

class http_server_connection;

/// Serves the requests of a set of connections.
class http_request_handler
{
public:
  static constexpr std::size_t kDefaultUnsentLimit = 65536;

  virtual ~http_request_handler() = default;
  /// A complete request was received. The handler answers it through the
  /// connection, now or later.
  virtual void OnRequest(http_server_connection& aConnection,
                         http_server_request aRequest) = 0;
  /// The client closed the connection before its response was complete.
  virtual void OnClientDisconnected(http_server_connection& aConnection) = 0;
  /// All bytes written so far were handed to the kernel.
  virtual void OnClientDrained(http_server_connection& aConnection) = 0;
  /// The connection is closed. Last event of the connection.
  virtual void OnConnectionClosed(http_server_connection& aConnection) = 0;

  /// Whether a connection that holds `aHeld` bytes of requests may hold `aMore`
  /// bytes more. Asked before the body of a request is read, and with all bytes
  /// that arrive.
  virtual bool MayHold(std::size_t /* aHeld */, std::size_t /* aMore */)
  {
    return true;
  }
  /// The bytes of requests that connections hold grew.
  virtual void OnHeld(std::size_t /* aBytes */) {}
  /// Bytes of responses that the kernel has not taken above which the next
  /// request of a connection waits. Constant unless a handler overrides it.
  virtual std::size_t UnsentLimit() { return kDefaultUnsentLimit; }
  /// Response to a request that may not be held; the connection closes after
  /// it. The body comes with it.
  virtual std::pair<http_server_response, std::string> RefuseInput();
};

/// One connection of a client.
class http_server_connection final : private tcp_observer
{
public:
  http_server_connection(int aDescriptor,
                         const http_server_limits& aLimits,
                         http_request_handler& aHandler,
                         time_point aNow);
  ~http_server_connection() override;

  /// Sends a whole response.
  void Respond(const http_server_response& aResponse, std::string_view aBody);
  /// Starts a response whose body follows by `WriteBody` and `FinishBody`.
  /// With `body_framing::Length` the headers carry the length.
  void StartResponse(const http_server_response& aResponse);
  void WriteBody(std::string_view aBytes);
  void FinishBody();
  /// Resets the connection, so that the client cannot take a partial response
  /// for a complete one.
  void Abort();
  /// Closes the connection now, or after the response in progress or to the
  /// first request.
  void CloseWhenIdle();
  /// Whether no request is in progress, and none has arrived.
  bool Idle() const;
  /// Until when an idle connection stays open.
  time_point Deadline() const { return mDeadline; }
  /// Closes an idle connection before its deadline.
  void CloseIdle();
  /// The next response closes the connection.
  void SetCloseAfterResponse() { mClosing = true; }

  bool Busy() const { return mBusy; }
  /// Whether a request is being received or answered.
  bool HasRequest() const
  {
    return mBusy || mRequestStarted || !mInput.empty();
  }
  bool Closed() const { return !mStream || mStream->Closed(); }
  /// Bytes of responses that the kernel has not taken.
  std::size_t PendingBytes() const { return mStream->PendingBytes(); }
  /// Whether the next request waits until the client has read the responses
  /// before it.
  bool AwaitsReads() const { return mAwaitsReads; }
  /// Bytes of requests that are not complete, or not taken up yet. Includes
  /// those that the kernel may hold while the connection is not read.
  std::size_t InputBytes() const;
  /// When the first byte of the input that is held arrived, to 250 ms.
  time_point InputSince() const { return mInputSince; }
  /// Frees the input: a request that is being received is answered with
  /// `RefuseInput` of the handler, and those behind one in progress are dropped
  /// unread. The connection closes after the response.
  void ShedInput();
  std::optional<tcp_send_state> SendState() const
  {
    return mStream->SendState();
  }
  /// Once the deadline has passed, answers an incomplete request with status
  /// 408 and closes an idle connection.
  void CheckDeadline(time_point aNow);
  /// Sets new limits. A new idle timeout also applies to the current wait.
  void SetLimits(const http_server_limits& aLimits);
  /// Whether `OnConnectionClosed` was called; then the object may be deleted.
  bool CloseReported() const { return mCloseReported; }

private:
  struct parser_state;

  void OnData(std::string_view aBytes) override;
  void OnDrained() override;
  void OnEnd(tcp_end_reason aReason) override;
  std::string DescribeRequest() const override;
  /// Counts input that is dropped, and ends a connection with too much of it.
  void Discard(std::size_t aBytes);
  void ParseInput();
  /// Whether the next request may begin, as far as the client reads.
  bool MayBeginRequest();
  /// Refuses a body that may not be held. `aBuffered` bytes of it have arrived.
  void TakeHead(std::size_t aBuffered);
  void DeliverRequest();
  /// Sends `100 Continue` if the client expects it before it sends the body.
  void SendContinue();
  void RejectInput(unsigned aStatus);
  /// Ends the request in progress with `RefuseInput` of the handler.
  void RefuseInput();
  /// Sends the last response. What the client still sends is read and dropped,
  /// so that it reads the response.
  void RespondAndDiscard(const http_server_response& aResponse,
                         std::string_view aBody);
  void EndResponse();
  void Finish();
  void StartRequest();

  http_server_limits mLimits;
  http_request_handler& mHandler;
  std::unique_ptr<parser_state> mParser;
  std::shared_ptr<tcp_stream> mStream;
  std::string mInput;
  /// Method and target of the request in progress, for logs; may be cut.
  std::string mDescription;
  /// Takes up the next request on the connection, outside of the handling of
  /// the previous one.
  loop_timer mNextRequest;
  /// Deadline for the header, the body, the next request or the end of the
  /// client.
  time_point mDeadline;
  time_point mNow;
  time_point mInputSince;
  body_framing mFraming = body_framing::Length;
  bool mRequestStarted = false;
  bool mParsing = false;
  bool mAwaitsReads = false;
  /// Requests behind the one in progress are dropped.
  bool mShedding = false;
  /// The last response was sent and further input is dropped.
  bool mDiscarding = false;
  std::size_t mDiscardedBytes = 0;
  bool mHadRequest = false;
  bool mBusy = false;
  bool mKeepAlive = true;
  bool mClosing = false;
  bool mIsHeadRequest = false;
  bool mCloseReported = false;
};

/// Head of a response from a server.
struct http_client_response
{
  unsigned mStatus = 0;
  http_headers mHeaders;
  body_framing mFraming = body_framing::Length;
  bool mKeepAlive = true;
};

/// Why a request to a server got no complete response.
enum class exchange_failure : std::uint8_t
{
  /// No byte of the request was sent.
  NotSent,
  /// The connection ended before the head of the response.
  NoResponse,
  /// The connection ended within the response.
  Truncated,
  /// The received bytes are not a valid response.
  Malformed,
};

std::string_view ExchangeFailureName(exchange_failure aFailure);

class http_client_connection;

/// Receives the response to one request.
class http_client_exchange_observer
{
public:
  virtual ~http_client_exchange_observer() = default;
  /// False when the response belongs to an earlier request of the connection;
  /// it is then read and dropped.
  virtual bool OnResponse(http_client_connection& aConnection,
                          http_client_response aResponse) = 0;
  virtual void OnBody(std::string_view aBytes) = 0;
  /// The response is complete. `aReusable` says that another request may
  /// follow on the connection.
  virtual void OnComplete(bool aReusable) = 0;
  virtual void OnExchangeFailed(exchange_failure aFailure) = 0;
  /// Names the request, for logs.
  virtual std::string DescribeExchange() const { return {}; }
};

/// One connection to a server, for one request at a time.
class http_client_connection final : private tcp_observer
{
public:
  http_client_connection(const tcp_address& aAddress, tcp_liveness aLiveness);
  ~http_client_connection() override;

  /// Sends a request. Its head is complete with framing headers. On a closed
  /// connection it fails with `NotSent`, later from the loop.
  void Start(std::string_view aHead,
             std::string_view aBody,
             bool aIsHeadRequest,
             http_client_exchange_observer& aObserver);
  /// Abandons the request and closes the connection. What was written is still
  /// sent. No further events follow.
  void Cancel();
  /// Like `Cancel`, but resets the connection if the request is in progress, so
  /// that the server gets nothing more of it.
  void Reset();
  void SetReading(bool aReading);
  /// Records the identity of the request that is sent next.
  void RecordRequest(std::string_view aRequestId);
  /// Whether the response to a request could not be told from a late copy of an
  /// earlier response on this connection: a request with the same identity was
  /// sent on it, or the request has none and the connection was used.
  bool IsAmbiguousFor(std::string_view aRequestId) const;

  bool Closed() const { return !mStream || mStream->Closed(); }
  bool Connected() const { return mStream && mStream->Connected(); }
  bool Idle() const { return mObserver == nullptr; }
  /// Bytes of the request that the kernel has not taken.
  std::size_t PendingBytes() const
  {
    return mStream ? mStream->PendingBytes() : 0;
  }
  /// Received bytes of a part of the response that is not complete.
  std::size_t InputBytes() const { return mInput.size(); }
  const tcp_address& Address() const { return mAddress; }
  /// Requests sent on this connection.
  unsigned Uses() const { return mUses; }

private:
  struct parser_state;

  void OnData(std::string_view aBytes) override;
  void OnEnd(tcp_end_reason aReason) override;
  std::string DescribeRequest() const override
  {
    return mObserver == nullptr ? std::string() : mObserver->DescribeExchange();
  }
  void Parse(std::string_view aBytes);
  bool DeliverHead();
  void CompleteResponse();
  void Fail(exchange_failure aFailure);
  void StartParser();

  tcp_address mAddress;
  std::shared_ptr<tcp_stream> mStream;
  std::unique_ptr<parser_state> mParser;
  http_client_exchange_observer* mObserver = nullptr;
  /// Reports a request that was started on a closed connection.
  loop_timer mNotSent;
  std::string mInput;
  unsigned mUses = 0;
  /// Hashes of the identities of the latest requests.
  std::vector<std::uint64_t> mRequests;
  std::size_t mNextRecord = 0;
  bool mIsHeadRequest = false;
  bool mHeadReceived = false;
  /// The response being read belongs to an earlier request and is discarded.
  bool mDiscardingResponse = false;
  std::size_t mDiscardedBytes = 0;
  unsigned mInterimResponses = 0;
};
