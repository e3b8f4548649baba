#ifndef BERGAMOT_ADAPTERENGINE_PROMPTBLOCKS_H
#define BERGAMOT_ADAPTERENGINE_PROMPTBLOCKS_H

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot::adapterengine {

/// Length of the prompt text that one cache block of an engine covers.
constexpr std::size_t PromptBlockBytes = 256;

/// Returns the prompt text of a completion request: the `prompt` of a text
/// completion, or the roles and contents of the `messages` of a chat. Throws
/// base::Error with step Parse if the body has neither.
std::string promptText(const nlohmann::json &body);

/// Returns the number of tokens of a prompt as the engines count them for
/// admission: one per four bytes, rounded up.
std::uint32_t countPromptTokens(std::string_view prompt);

/// Returns the hashes of the prompt's prefixes up to and including each full
/// cache block, shortest first. Cache events name blocks by them.
std::vector<std::uint64_t> promptBlocks(std::string_view prompt);

} // namespace bergamot::adapterengine

#endif
