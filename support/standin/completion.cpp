#include "standin/completion.h"

#include "adapterengine/promptblocks.h"
#include "libbergamotbase/digest.h"
#include "libbergamotbase/error.h"

#include <nlohmann/json.hpp>

#include <array>

namespace bergamot::standin {

namespace {

constexpr std::uint32_t MaxTokensLimit = 100000;

nlohmann::json envelope(const Completion &completion, bool isChunk) {
  // The creation time is fixed, so that every engine sends the same bytes for
  // a request and a stream can be resumed by offset.
  std::string object = "text_completion";
  if (completion.IsChat)
    object = isChunk ? "chat.completion.chunk" : "chat.completion";
  return {{"id", "cmpl-" + completion.RequestId},
          {"object", object},
          {"created", 0},
          {"model", completion.Model}};
}

void addText(std::string &text, const nlohmann::json &body) {
  for (const auto &it : body.at("choices")) {
    if (it.contains("delta"))
      text += it["delta"].value("content", std::string());
    else if (it.contains("message"))
      text += it["message"].value("content", std::string());
    else
      text += it.value("text", std::string());
  }
}

} // namespace

Completion parseCompletion(const nlohmann::json &body, bool isChat,
                           const std::string &requestId) {
  Completion completion;
  completion.RequestId = requestId;
  completion.IsChat = isChat;
  completion.Prompt = adapterengine::promptText(body);
  completion.Model = body.value("model", std::string("default"));
  completion.IsStream = body.value("stream", false);
  completion.MaxTokens = body.value(
      "max_tokens", body.value("max_completion_tokens", completion.MaxTokens));
  if (completion.MaxTokens == 0 || completion.MaxTokens > MaxTokensLimit)
    throw base::Error(base::Step::Parse, "", "max_tokens is out of range");
  return completion;
}

std::string completionToken(std::string_view prompt, std::uint32_t index) {
  static constexpr std::array<const char *, 16> Syllables = {
      "ha", "no", "ki", "ru", "mi", "ta", "so", "ne",
      "ko", "ri", "yu", "ma", "se", "to", "na", "wa"};
  std::uint64_t hash = base::xxHash64(prompt, index);
  std::string token = " ";
  for (int i = 0; i < 3; ++i) {
    token += Syllables[hash & 15];
    hash >>= 4;
  }
  return token;
}

std::string completionText(std::string_view prompt, std::uint32_t maxTokens) {
  std::string text;
  for (std::uint32_t i = 0; i < maxTokens; ++i)
    text += completionToken(prompt, i);
  return text;
}

std::string streamPiece(const Completion &completion, std::uint32_t index) {
  nlohmann::json event = envelope(completion, true);
  nlohmann::json choice = {{"index", 0}, {"finish_reason", nullptr}};
  bool isLast = index >= completion.MaxTokens;
  std::string token;
  if (isLast)
    choice["finish_reason"] = "length";
  else
    token = completionToken(completion.Prompt, index);
  if (!completion.IsChat)
    choice["text"] = token;
  else if (isLast)
    choice["delta"] = nlohmann::json::object();
  else
    choice["delta"] = {{"content", token}};
  event["choices"] = {choice};
  return "data: " + event.dump() + "\n\n" + (isLast ? "data: [DONE]\n\n" : "");
}

std::string plainBody(const Completion &completion) {
  nlohmann::json body = envelope(completion, false);
  std::string text = completionText(completion.Prompt, completion.MaxTokens);
  nlohmann::json choice = {{"index", 0}, {"finish_reason", "length"}};
  if (completion.IsChat)
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  else
    choice["text"] = text;
  body["choices"] = {choice};
  std::uint32_t prompt = adapterengine::countPromptTokens(completion.Prompt);
  body["usage"] = {{"prompt_tokens", prompt},
                   {"completion_tokens", completion.MaxTokens},
                   {"total_tokens", prompt + completion.MaxTokens}};
  return body.dump();
}

std::string streamBody(const Completion &completion) {
  std::string body;
  for (std::uint32_t i = 0; i <= completion.MaxTokens; ++i)
    body += streamPiece(completion, i);
  return body;
}

std::string textOfBody(std::string_view body) {
  constexpr std::string_view Prefix = "data: ";
  std::string text;
  if (body.substr(0, Prefix.size()) != Prefix) {
    addText(text, nlohmann::json::parse(body));
    return text;
  }
  while (body.substr(0, Prefix.size()) == Prefix) {
    body.remove_prefix(Prefix.size());
    std::size_t end = std::min(body.find("\n\n"), body.size());
    std::string_view event = body.substr(0, end);
    if (event != "[DONE]")
      addText(text, nlohmann::json::parse(event));
    body.remove_prefix(std::min(body.size(), end + 2));
  }
  return text;
}

} // namespace bergamot::standin
