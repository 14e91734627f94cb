#pragma once

#include <string_view>

#include "Common/Identity.h"
#include "Common/Time.h"
#include "Config/ConfigError.h"
#include "Remote/TableService.h"

/// Operator and time that the change rows of an import record.
struct import_metadata
{
  std::string mOperator;
  wall_time mAt;
};

/// Builds the transaction that stores a whole document in an empty table. The
/// sections refer to each other, so they cannot be stored one by one. The
/// transaction conflicts when the table already has a configuration.
config_result<table_transaction> ImportDocument(std::string_view aText,
                                                std::string_view aSource,
                                                const import_metadata& aNote,
                                                const transaction_id& aId);
