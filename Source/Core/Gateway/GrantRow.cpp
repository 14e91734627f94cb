#include "Gateway/GrantRow.h"

#include <nlohmann/json.hpp>

std::string WriteGrantRow(const grant_row& aRow)
{
  const nlohmann::json json = { { "granted", aRow.mGranted },
                                { "writer", aRow.mWriter },
                                { "sequence", aRow.mSequence } };
  return json.dump();
}

std::optional<grant_row> ParseGrantRow(std::string_view aText)
{
  const auto json = nlohmann::json::parse(aText, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  const auto granted = json.find("granted");
  const auto writer = json.find("writer");
  const auto sequence = json.find("sequence");
  if (granted == json.end() || !granted->is_number_integer() ||
      writer == json.end() || !writer->is_string() || sequence == json.end() ||
      !sequence->is_number_unsigned()) {
    return std::nullopt;
  }
  return grant_row{ granted->get<std::int64_t>(),
                    writer->get<std::string>(),
                    sequence->get<std::uint64_t>() };
}
