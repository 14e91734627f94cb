#include "Remote/TableJson.h"

#include <utility>

#include <nlohmann/json.hpp>

using nlohmann::json;

namespace {

/// JSON text of a value; nothing when a string in it is not UTF-8.
std::optional<std::string> Dump(const json& aValue)
{
  try {
    return aValue.dump();
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

/// Parses a text and reads it with `aRead`; nothing when a member is missing or
/// has the wrong type.
template<class Function>
auto Parse(std::string_view aText, Function aRead)
  -> std::optional<decltype(aRead(std::declval<const json&>()))>
{
  try {
    return aRead(json::parse(aText));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

json RowJson(const table_row& aRow)
{
  json row{ { "key", aRow.mKey }, { "version", aRow.mVersion } };
  if (aRow.mVersion != 0) {
    row["value"] = aRow.mValue;
  }
  return row;
}

table_row ReadRow(const json& aRow)
{
  return { aRow.at("key").get<std::string>(),
           aRow.at("version").get<std::uint64_t>(),
           aRow.value("value", std::string()) };
}

table_write ReadWrite(const json& aWrite)
{
  table_write write{ aWrite.at("key").get<std::string>(), std::nullopt };
  const json& value = aWrite.at("value");
  if (!value.is_null()) {
    write.mValue = value.get<std::string>();
  }
  return write;
}

} // namespace

std::optional<std::string> WriteReadRequest(
  const std::vector<std::string>& aKeys)
{
  return Dump({ { "keys", aKeys } });
}

std::optional<std::vector<std::string>> ParseReadRequest(std::string_view aText)
{
  return Parse(aText, [](const json& aBody) {
    return aBody.at("keys").get<std::vector<std::string>>();
  });
}

std::optional<std::string> WriteScanRequest(const table_scan& aScan)
{
  return Dump({ { "prefix", aScan.mPrefix },
                { "after", aScan.mAfter },
                { "limit", aScan.mLimit } });
}

std::optional<table_scan> ParseScanRequest(std::string_view aText)
{
  return Parse(aText, [](const json& aBody) {
    return table_scan{ aBody.at("prefix").get<std::string>(),
                       aBody.at("after").get<std::string>(),
                       aBody.at("limit").get<std::uint32_t>() };
  });
}

std::optional<std::string> WriteCommitRequest(
  const table_transaction& aTransaction)
{
  json conditions = json::array();
  for (const table_condition& condition : aTransaction.mConditions) {
    conditions.push_back(
      { { "key", condition.mKey }, { "version", condition.mVersion } });
  }
  json writes = json::array();
  for (const table_write& write : aTransaction.mWrites) {
    json value;
    if (write.mValue) {
      value = *write.mValue;
    }
    writes.push_back({ { "key", write.mKey }, { "value", std::move(value) } });
  }
  return Dump({ { "id", FormatWide(aTransaction.mId) },
                { "conditions", std::move(conditions) },
                { "writes", std::move(writes) } });
}

std::optional<table_transaction> ParseCommitRequest(std::string_view aText)
{
  auto parsed = Parse(aText, [](const json& aBody) {
    const auto id =
      ParseWide<transaction_tag>(aBody.at("id").get<std::string>());
    table_transaction transaction{ id.value_or(transaction_id()), {}, {} };
    for (const json& condition : aBody.at("conditions")) {
      transaction.mConditions.push_back(
        { condition.at("key").get<std::string>(),
          condition.at("version").get<std::uint64_t>() });
    }
    for (const json& write : aBody.at("writes")) {
      transaction.mWrites.push_back(ReadWrite(write));
    }
    return std::pair(id.has_value(), std::move(transaction));
  });
  if (!parsed || !parsed->first) {
    return std::nullopt;
  }
  return std::move(parsed->second);
}

std::optional<std::string> WriteRowsReply(const std::vector<table_row>& aRows)
{
  json rows = json::array();
  for (const table_row& row : aRows) {
    rows.push_back(RowJson(row));
  }
  return Dump({ { "rows", std::move(rows) } });
}

std::optional<std::vector<table_row>> ParseRowsReply(std::string_view aText)
{
  return Parse(aText, [](const json& aBody) {
    std::vector<table_row> rows;
    for (const json& row : aBody.at("rows")) {
      rows.push_back(ReadRow(row));
    }
    return rows;
  });
}

std::string WriteCommitReply(const commit_reply& aReply)
{
  return json{
    { "committed", aReply.mCommitted }, { "version", aReply.mVersion }
  }.dump();
}

std::optional<commit_reply> ParseCommitReply(std::string_view aText)
{
  return Parse(aText, [](const json& aBody) {
    return commit_reply{ aBody.at("committed").get<bool>(),
                         aBody.at("version").get<std::uint64_t>() };
  });
}
