#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

/// Identities of prompt blocks, as engines publish them in their cache events.
/// Routers and engines must compute the same ones, so that a router finds the
/// engine that has a prompt's prefix cached.

/// Size of a block in bytes, about 16 tokens of text.
inline constexpr std::size_t kPrefixBlockBytes = 64;

/// Concatenates the roles and contents of all messages, each followed by a line
/// feed.
std::string PromptText(const nlohmann::json& aMessages);

/// Identities of the leading complete blocks, at most `aMaxBlocks` of them.
/// Each identity depends on the model and on all blocks before it.
std::vector<std::uint64_t> PrefixBlocks(std::string_view aModel,
                                        std::string_view aPrompt,
                                        std::size_t aBlockBytes,
                                        std::size_t aMaxBlocks);
