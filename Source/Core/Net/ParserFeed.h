#pragma once

#include <algorithm>
#include <cstddef>
#include <string_view>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

/// Passes received bytes to a parser of Boost.Beast, within a limit on each
/// part of a message that the parser takes only as a whole: the head, the line
/// with the size and the extensions of a chunk, and the last chunk with the
/// trailer. Beast 1.74 limits what it takes of the head at once, and nothing
/// else.
class parser_feed
{
public:
  /// Beast throws `std::length_error` for fields of more than 65,533 bytes.
  static constexpr std::size_t kMaxPartBytes = 65000;

  explicit parser_feed(std::size_t aMaxPartBytes)
    : mMaxPartBytes(std::min(aMaxPartBytes, kMaxPartBytes))
  {
  }

  /// Parses the begin of `aBytes` and returns the number of bytes that were
  /// consumed. The others must be the begin of the next call. Fails with
  /// `header_limit` if a part is too long.
  template<typename Parser>
  std::size_t Feed(Parser& aParser,
                   std::string_view aBytes,
                   boost::system::error_code& aError)
  {
    namespace http = boost::beast::http;
    // The parser asserts that it is not called with a part of the last chunk
    // for a second time.
    if (mWaiting && aParser.is_header_done() &&
        aBytes.size() < kLastChunkBytes) {
      aError = http::error::need_more;
      return 0;
    }
    const std::size_t maxBytes = mMaxPartBytes - mHeadBytes;
    const std::string_view part = aBytes.substr(0, maxBytes);
    const std::size_t consumed =
      aParser.put(boost::asio::buffer(part.data(), part.size()), aError);
    mWaiting = aError == http::error::need_more && consumed == 0;
    if (aError == http::error::need_more && part.size() == maxBytes &&
        (mWaiting || !aParser.is_header_done())) {
      aError = http::error::header_limit;
    }
    mHeadBytes = aParser.is_header_done() ? 0 : mHeadBytes + consumed;
    return consumed;
  }

private:
  /// Length of a last chunk without extensions and trailer.
  static constexpr std::size_t kLastChunkBytes = 5;

  std::size_t mMaxPartBytes;
  /// Bytes of an unfinished head that the parser has taken: it takes each line
  /// that is whole.
  std::size_t mHeadBytes = 0;
  /// Whether the last call consumed nothing and needs more bytes.
  bool mWaiting = false;
};
