#include "Remote/TableService.h"

std::string_view TableErrorName(table_error aError)
{
  switch (aError) {
    case table_error::Unavailable:
      return "unavailable";
    case table_error::RateLimited:
      return "rate_limited";
    case table_error::Timeout:
      return "timeout";
    case table_error::Malformed:
      return "malformed";
  }
  return "unknown";
}
