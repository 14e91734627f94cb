#pragma once

#include <string>

#include "Config/FleetDocument.h"

/// Section texts for the tests of this folder.

inline const std::string kCapacityText = R"({
  "ranks": { "urgent": { "floor_share": 0.2 } },
  "models": {
    "quick": { "context_length": 8192, "default_output": 256,
               "max_output": 1024 }
  }
})";

inline const std::string kBillingText = R"({
  "prices": { "quick": { "prompt": 1000, "output": 3000 } },
  "budgets": { "prepaid": { "accounts": ["clinic", "depot", "a", "b", "c"] } }
})";

/// An account with one API key, the hash of `aKey`.
inline std::string AccountText(const std::string& aKey, double aWeight = 1)
{
  return "{ \"key_hashes\": [\"" + FormatApiKeyHash(HashApiKey(aKey)) +
         "\"],\n\"allowed_ranks\": [\"routine\"],\n\"allowed_models\": "
         "[\"quick\"],\n\"budget\": \"prepaid\", \"weight\": " +
         std::to_string(aWeight) + " }";
}
