#pragma once

/// HTTP status codes (RFC 9110, RFC 6585) that this program sends or
/// distinguishes.
namespace http_status {

inline constexpr unsigned kLowest = 100;
inline constexpr unsigned kHighest = 599;
inline constexpr unsigned kOk = 200;
inline constexpr unsigned kBadRequest = 400;
inline constexpr unsigned kUnauthorized = 401;
inline constexpr unsigned kPaymentRequired = 402;
inline constexpr unsigned kNotFound = 404;
inline constexpr unsigned kRequestTimeout = 408;
inline constexpr unsigned kGone = 410;
inline constexpr unsigned kPreconditionFailed = 412;
inline constexpr unsigned kContentTooLarge = 413;
inline constexpr unsigned kMisdirectedRequest = 421;
inline constexpr unsigned kTooManyRequests = 429;
inline constexpr unsigned kHeaderFieldsTooLarge = 431;
/// Lowest status code of a server error.
inline constexpr unsigned kFirstServerError = 500;
inline constexpr unsigned kBadGateway = 502;
inline constexpr unsigned kServiceUnavailable = 503;
inline constexpr unsigned kGatewayTimeout = 504;

/// Whether a response may have this status (RFC 9110, section 15).
constexpr bool IsValid(unsigned aStatus)
{
  return aStatus >= kLowest && aStatus <= kHighest;
}

} // namespace http_status
