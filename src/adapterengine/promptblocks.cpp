#include "adapterengine/promptblocks.h"

#include "libbergamotbase/digest.h"
#include "libbergamotbase/error.h"

#include <nlohmann/json.hpp>

namespace bergamot::adapterengine {

namespace {

constexpr std::size_t BytesPerToken = 4;

[[noreturn]] void throwParseError(const char *message) {
  throw base::Error(base::Step::Parse, "", message);
}

} // namespace

std::string promptText(const nlohmann::json &body) {
  if (!body.is_object())
    throwParseError("the body is not a JSON object");
  if (auto it = body.find("prompt"); it != body.end()) {
    if (!it->is_string())
      throwParseError("prompt is not a string");
    return it->get<std::string>();
  }
  auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array())
    throwParseError("the body has neither a prompt nor messages");
  std::string text;
  for (const auto &it : *messages) {
    if (!it.is_object() || !it.contains("role") || !it["role"].is_string() ||
        !it.contains("content") || !it["content"].is_string())
      throwParseError("a message needs a role and a content, both strings");
    text += it["role"].get<std::string>() + ": " +
            it["content"].get<std::string>() + "\n";
  }
  return text;
}

std::uint32_t countPromptTokens(std::string_view prompt) {
  return static_cast<std::uint32_t>((prompt.size() + BytesPerToken - 1) /
                                    BytesPerToken);
}

std::vector<std::uint64_t> promptPrefixHashes(std::string_view prompt) {
  std::vector<std::uint64_t> hashes;
  base::StreamHash hash;
  while (prompt.size() >= PromptBlockBytes) {
    hash.add(prompt.substr(0, PromptBlockBytes));
    hashes.push_back(hash.value());
    prompt.remove_prefix(PromptBlockBytes);
  }
  return hashes;
}

} // namespace bergamot::adapterengine
