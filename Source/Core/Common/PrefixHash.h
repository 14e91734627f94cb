#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

/// Identities of the blocks of a prompt, as engines publish them in their cache
/// events. Router and engine must compute the same ones for a request to meet
/// the engine that has its prefix.

/// Bytes of one block, about 16 tokens of text.
inline constexpr std::size_t kPrefixBlockBytes = 64;

/// Roles and contents of all messages, each followed by a line feed.
std::string PromptText(const nlohmann::json& aMessages);

/// Identities of the leading complete blocks, at most `aMost`. Each depends on
/// the model and on all blocks before it.
std::vector<std::uint64_t> PrefixBlocks(std::string_view aModel,
                                        std::string_view aPrompt,
                                        std::size_t aBlockBytes,
                                        std::size_t aMost);
