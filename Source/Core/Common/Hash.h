#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Identity.h"

/// Hashes that are the same on every node and in every version (xxHash).

/// 64-bit hash of a text.
std::uint64_t StableHash(std::string_view aText, std::uint64_t aSeed = 0);

/// Rendezvous hashing weight of a candidate for a key: the candidates with the
/// highest weights are chosen.
std::uint64_t RendezvousWeight(std::string_view aKey,
                               std::string_view aCandidate);

/// Number of the others that are chosen for a key before the candidate.
std::size_t RendezvousRank(std::string_view aKey,
                           std::string_view aCandidate,
                           const std::vector<std::string>& aOthers);

/// Identity of a request from its client account and idempotency key.
request_id MakeRequestId(const account_id& aAccount,
                         std::string_view aIdempotencyKey);

/// Fingerprint of a request's content, different for each client account.
content_id MakeContentId(const account_id& aAccount, std::string_view aContent);

/// Identity of a prompt segment from the name that callers give it.
segment_id MakeSegmentId(std::string_view aName);
