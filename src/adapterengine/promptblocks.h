#ifndef BERGAMOT_ADAPTERENGINE_PROMPTBLOCKS_H
#define BERGAMOT_ADAPTERENGINE_PROMPTBLOCKS_H

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot::adapterengine {

/// Bytes of prompt text per block of an engine's prefix cache.
constexpr std::size_t PromptBlockBytes = 256;

/// Extracts the prompt of a completion request: the `prompt` of a text
/// completion, or the roles and contents of the `messages` of a chat. Throws
/// base::Error with step Parse if the body has neither.
std::string promptText(const nlohmann::json &body);

/// Returns the number of prompt tokens that the engines use for admission: one
/// per four bytes, rounded up.
std::uint32_t countPromptTokens(std::string_view prompt);

/// Returns one hash per full cache block of the prompt, each over the prefix up
/// to the end of that block, shortest first. Cache events identify blocks by
/// these hashes.
std::vector<std::uint64_t> promptPrefixHashes(std::string_view prompt);

} // namespace bergamot::adapterengine

#endif
