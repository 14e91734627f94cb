#include "Remote/RowStore.h"

std::string_view RowStoreErrorName(row_store_error aError)
{
  switch (aError) {
    case row_store_error::Refused:
      return "refused";
    case row_store_error::Unknown:
      return "unknown";
    case row_store_error::HistoryLost:
      return "history_lost";
  }
  return "unknown";
}
