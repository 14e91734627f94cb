#include "Common/PrefixHash.h"

#include <nlohmann/json.hpp>

#include "Common/Hash.h"

namespace {

using json = nlohmann::json;

/// String member of an object, or empty for anything else, since callers may
/// send any JSON.
std::string TextMember(const json& aObject, const char* aName)
{
  if (!aObject.is_object() || !aObject.contains(aName) ||
      !aObject.at(aName).is_string()) {
    return {};
  }
  return aObject.at(aName).get<std::string>();
}

/// Text of a message's content, which is a string or an array of text parts.
std::string ContentText(const json& aMessage)
{
  if (!aMessage.is_object() || !aMessage.contains("content")) {
    return {};
  }
  const json& content = aMessage.at("content");
  if (content.is_string()) {
    return content.get<std::string>();
  }
  std::string text;
  for (const json& part : content) {
    text += TextMember(part, "text");
  }
  return text;
}

} // namespace

std::string PromptText(const json& aMessages)
{
  std::string prompt;
  for (const json& message : aMessages) {
    prompt += TextMember(message, "role");
    prompt += '\n';
    prompt += ContentText(message);
    prompt += '\n';
  }
  return prompt;
}

std::vector<std::uint64_t> PrefixBlocks(std::string_view aModel,
                                        std::string_view aPrompt,
                                        std::size_t aBlockBytes,
                                        std::size_t aMaxBlocks)
{
  std::vector<std::uint64_t> blocks;
  std::uint64_t previous = StableHash(aModel);
  while (aPrompt.size() >= aBlockBytes && blocks.size() < aMaxBlocks) {
    previous = StableHash(aPrompt.substr(0, aBlockBytes), previous);
    blocks.push_back(previous);
    aPrompt.remove_prefix(aBlockBytes);
  }
  return blocks;
}
