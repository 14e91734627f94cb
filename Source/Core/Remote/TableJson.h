#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Remote/TableService.h"

/// JSON bodies of the table service's HTTP protocol. Keys and values are UTF-8
/// texts; the Write functions return nothing for other bytes.
///
/// - `POST /v1/read` with `{"keys":[..]}` returns
///   `{"rows":[{"key","version","value"}]}`.
/// - `POST /v1/scan` with `{"prefix","after","limit"}` returns rows, too.
/// - `POST /v1/commit` with `{"id","conditions":[{"key","version"}],`
///   `"writes":[{"key","value"}]}` returns `{"committed","version"}`. `id` has
///   32 hexadecimal digits; a write with the value `null` deletes the row.
///
/// | status | meaning | applied |
/// | --- | --- | --- |
/// | 200 | the reply, also for a conflict | see `committed` |
/// | 429 | rate limited | no |
/// | 503, any 4xx | refused | no |
/// | any other | failed | unknown |

std::optional<std::string> WriteReadRequest(
  const std::vector<std::string>& aKeys);
std::optional<std::vector<std::string>> ParseReadRequest(
  std::string_view aText);

std::optional<std::string> WriteScanRequest(const table_scan& aScan);
std::optional<table_scan> ParseScanRequest(std::string_view aText);

std::optional<std::string> WriteCommitRequest(
  const table_transaction& aTransaction);
std::optional<table_transaction> ParseCommitRequest(std::string_view aText);

std::optional<std::string> WriteRowsReply(const std::vector<table_row>& aRows);
std::optional<std::vector<table_row>> ParseRowsReply(std::string_view aText);

std::string WriteCommitReply(const commit_reply& aReply);
std::optional<commit_reply> ParseCommitReply(std::string_view aText);
