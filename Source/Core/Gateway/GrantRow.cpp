#include "Gateway/GrantRow.h"

#include <nlohmann/json.hpp>

#include "Common/JsonText.h"

std::string WriteGrantRow(const grant_row& aRow)
{
  const nlohmann::json json = { { "granted", aRow.mGranted },
                                { "writer", aRow.mWriter },
                                { "sequence", aRow.mSequence } };
  return json.dump();
}

std::optional<grant_row> ParseGrantRow(std::string_view aText)
{
  const auto body = ParseBoundedJson(aText);
  if (!body || !body->is_object()) {
    return std::nullopt;
  }
  constexpr std::int64_t kMin = -kMaxWholeNumber;
  const auto granted = body->find("granted");
  const auto writer = body->find("writer");
  const auto sequence = body->find("sequence");
  if (granted == body->end() || !ReadWholeNumber(*granted, kMin) ||
      writer == body->end() || !writer->is_string() ||
      sequence == body->end() || !ReadWholeNumber(*sequence)) {
    return std::nullopt;
  }
  return grant_row{ granted->get<std::int64_t>(),
                    writer->get<std::string>(),
                    sequence->get<std::uint64_t>() };
}
