#pragma once

#include <string_view>

#include "Common/Identity.h"
#include "Common/Time.h"
#include "Config/ConfigError.h"
#include "Remote/TableService.h"

/// Who imports a first document, and when.
struct import_note
{
  std::string mOperator;
  wall_time mAt;
};

/// Makes the transaction that stores a whole document in an empty table. Its
/// sections refer to each other, so they cannot be put one by one. The
/// transaction fails when there is a configuration already.
config_result<table_transaction> ImportDocument(std::string_view aText,
                                                std::string_view aSource,
                                                const import_note& aNote,
                                                const transaction_id& aId);
