#ifndef BERGAMOT_STANDIN_COMPLETION_H
#define BERGAMOT_STANDIN_COMPLETION_H

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot::standin {

/// One completion that the engine stand-in is asked for.
struct Completion {
  std::string RequestId;
  std::string Model;
  std::string Prompt;
  std::uint32_t MaxTokens = 16;
  bool IsChat = false;
  bool IsStream = false;
};

/// Reads the body of a chat or text completion. Throws base::Error with step
/// Parse.
Completion parseCompletion(const nlohmann::json &body, bool isChat,
                           const std::string &requestId);

/// Returns one token of the text that answers a prompt.
std::string completionToken(std::string_view prompt, std::uint32_t index);

/// Returns the whole text that answers a prompt: a function of the prompt and
/// the number of tokens only, so that a test can compute it.
std::string completionText(std::string_view prompt, std::uint32_t maxTokens);

/// Returns the server-sent event with one token; with an index of MaxTokens,
/// the final event and the end mark.
std::string streamPiece(const Completion &completion, std::uint32_t index);

/// Returns the body of a plain response.
std::string plainBody(const Completion &completion);

/// Returns the body of a streamed response.
std::string streamBody(const Completion &completion);

/// Returns the text of the events of a streamed response, or of a plain one.
std::string textOfBody(std::string_view body);

} // namespace bergamot::standin

#endif
