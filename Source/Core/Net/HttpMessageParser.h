#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <boost/beast/http/basic_parser.hpp>

#include "Common/HttpHeaders.h"
#include "Net/HttpStatus.h"

/// Parser of HTTP/1.1 messages on the state machine of Boost.Beast.
///
/// Until they are taken, the fields are held as text. A parsed field takes more
/// than twenty times the bytes of the shortest line, and clients choose how
/// many lines the head of a request has, and for how long its body arrives.
template<bool IsRequest>
class http_message_parser final
  : public boost::beast::http::basic_parser<IsRequest>
{
public:
  http_message_parser(std::size_t aMaxHeadBytes, std::uint64_t aMaxBodyBytes)
  {
    this->header_limit(static_cast<std::uint32_t>(aMaxHeadBytes));
    this->body_limit(aMaxBodyBytes);
  }

  const std::string& Method() const { return mMethod; }
  const std::string& Target() const { return mTarget; }
  unsigned Status() const { return mStatus; }
  const std::string& Reason() const { return mReason; }
  /// Whether the client waits for `100 Continue` before it sends the body.
  bool ExpectsContinue() const { return mExpectsContinue; }
  /// The lines of the fields, each `name:value` and a line feed.
  const std::string& FieldText() const { return mFieldText; }
  /// Bytes that the parser holds of the message.
  std::size_t HeldBytes() const
  {
    return mMethod.size() + mTarget.size() + mFieldText.size() + mBody.size();
  }
  /// Memory that `TakeHeaders` allocates at most.
  std::size_t HeaderBytes() const
  {
    return mFieldCount * sizeof(http_headers::value_type) + mFieldText.size();
  }

  /// Returns the fields of the head and forgets their text.
  http_headers TakeHeaders()
  {
    http_headers headers;
    headers.reserve(mFieldCount);
    const std::string text = std::exchange(mFieldText, {});
    std::string_view rest = text;
    while (!rest.empty()) {
      const std::size_t end = rest.find('\n');
      const std::string_view line = rest.substr(0, end);
      const std::size_t colon = line.find(':');
      headers.emplace_back(line.substr(0, colon), line.substr(colon + 1));
      rest.remove_prefix(end + 1);
    }
    return headers;
  }
  std::string TakeMethod() { return std::exchange(mMethod, {}); }
  std::string TakeTarget() { return std::exchange(mTarget, {}); }
  /// Returns what has arrived of the body since the last call.
  std::string TakeBody() { return std::exchange(mBody, {}); }

private:
  using error_code = boost::beast::error_code;
  using beast_view = boost::beast::string_view;

  void on_request_impl(boost::beast::http::verb /* aVerb */,
                       beast_view aMethod,
                       beast_view aTarget,
                       int /* aVersion */,
                       error_code& /* aError */) override
  {
    mMethod.assign(aMethod.data(), aMethod.size());
    mTarget.assign(aTarget.data(), aTarget.size());
  }

  void on_response_impl(int aStatus,
                        beast_view aReason,
                        int /* aVersion */,
                        error_code& aError) override
  {
    mStatus = static_cast<unsigned>(aStatus);
    if (!http_status::IsValid(mStatus)) {
      aError = boost::beast::http::error::bad_status;
      return;
    }
    mReason.assign(aReason.data(), aReason.size());
  }

  void on_field_impl(boost::beast::http::field aField,
                     beast_view aName,
                     beast_view aValue,
                     error_code& aError) override
  {
    if (this->is_header_done()) {
      // Fields of the trailer are ignored.
      return;
    }
    // Without its coding, nobody knows where the body of a request ends. Beast
    // takes a request with another coding for one without a body.
    if (IsRequest && aField == boost::beast::http::field::transfer_encoding &&
        !boost::beast::iequals(aValue, "chunked")) {
      aError = boost::beast::http::error::bad_transfer_encoding;
      return;
    }
    if (aField == boost::beast::http::field::expect) {
      mExpectsContinue = boost::beast::iequals(aValue, "100-continue");
    }
    mFieldText.append(aName.data(), aName.size()).append(1, ':');
    mFieldText.append(aValue.data(), aValue.size()).append(1, '\n');
    ++mFieldCount;
  }

  void on_header_impl(error_code& /* aError */) override {}

  void on_body_init_impl(boost::optional<std::uint64_t> const& aLength,
                         error_code& /* aError */) override
  {
    if (IsRequest && aLength) {
      // Limited by the limit on bodies.
      mBody.reserve(static_cast<std::size_t>(*aLength));
    }
  }

  std::size_t on_body_impl(beast_view aBytes, error_code& /* aError */) override
  {
    mBody.append(aBytes.data(), aBytes.size());
    return aBytes.size();
  }

  void on_chunk_header_impl(std::uint64_t /* aSize */,
                            beast_view /* aExtensions */,
                            error_code& /* aError */) override
  {
  }

  std::size_t on_chunk_body_impl(std::uint64_t /* aRemain */,
                                 beast_view aBytes,
                                 error_code& /* aError */) override
  {
    mBody.append(aBytes.data(), aBytes.size());
    return aBytes.size();
  }

  void on_finish_impl(error_code& /* aError */) override {}

  std::string mMethod;
  std::string mTarget;
  unsigned mStatus = 0;
  std::string mReason;
  std::string mFieldText;
  std::size_t mFieldCount = 0;
  bool mExpectsContinue = false;
  std::string mBody;
};
