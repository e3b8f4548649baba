#include "bergamotd/answerchannel.h"

#include <utility>

namespace bergamot::bergamotd {

namespace fb = wire::fb;

namespace {

Executed toExecuted(fb::Executed value) {
  switch (value) {
  case fb::Executed::No:
    return Executed::No;
  case fb::Executed::Yes:
    return Executed::Yes;
  case fb::Executed::Unknown:
    break;
  }
  return Executed::Unknown;
}

AnswerHead toHead(const fb::HeadT &head) {
  AnswerHead result{head.status, {}};
  for (const auto &it : head.headers)
    result.Headers.emplace_back(it->name, it->value);
  return result;
}

} // namespace

AnswerChannel::AnswerChannel(std::uint64_t offset, std::uint64_t windowBytes)
    : NextOffset(offset), WindowBytes(windowBytes) {}

bool AnswerChannel::addMessage(const wire::Envelope &message) {
  const std::lock_guard lock(Mutex);
  if (HasEnded)
    return true; // Late frames of an attempt that was given up.
  if (const auto *refused = wire::payloadAs<fb::RefusedT>(message)) {
    push(AttemptRefused{refused->reason,
                        std::chrono::milliseconds(refused->retry_after_ms),
                        refused->detail},
         true);
    return true;
  }
  if (const auto *head = wire::payloadAs<fb::HeadT>(message)) {
    if (std::exchange(HasHead, true))
      return false;
    push(toHead(*head), false);
    return true;
  }
  if (const auto *chunk = wire::payloadAs<fb::ChunkT>(message))
    return addChunk(*chunk);
  if (const auto *end = wire::payloadAs<fb::EndT>(message))
    return addEnd(*end);
  if (const auto *failed = wire::payloadAs<fb::FailedT>(message)) {
    push(AttemptFailed{toExecuted(failed->executed), failed->step,
                       failed->detail},
         true);
    return true;
  }
  if (wire::payloadAs<fb::ParkT>(message) != nullptr) {
    push(AnswerParked{}, true);
    return true;
  }
  return false;
}

bool AnswerChannel::addChunk(const fb::ChunkT &chunk) {
  if (!HasHead || chunk.offset != NextOffset ||
      HeldBytes + chunk.bytes.size() > WindowBytes) {
    push(AttemptFailed{Executed::Unknown, "answer",
                       "chunk at offset " + std::to_string(chunk.offset) +
                           " instead of " + std::to_string(NextOffset)},
         true);
    return false;
  }
  std::string bytes(chunk.bytes.begin(), chunk.bytes.end());
  NextOffset += bytes.size();
  HeldBytes += bytes.size();
  Hash.add(bytes);
  push(AnswerBytes{std::move(bytes)}, false);
  return true;
}

bool AnswerChannel::addEnd(const fb::EndT &end) {
  if (!HasHead || end.total_length != NextOffset || end.hash != Hash.value()) {
    push(AttemptFailed{Executed::Unknown, "answer",
                       "length or hash of the answer don't match"},
         true);
    return false;
  }
  push(AnswerEnd{end.total_length}, true);
  return true;
}

void AnswerChannel::addFailure(AttemptFailed failure) {
  const std::lock_guard lock(Mutex);
  if (!HasEnded)
    push(std::move(failure), true);
}

void AnswerChannel::push(AnswerEvent event, bool isLast) {
  Events.push_back(std::move(event));
  HasEnded = isLast;
  Changed.notify_one();
}

bool AnswerChannel::waitForEvent(base::TimePoint deadline) {
  std::unique_lock lock(Mutex);
  return Changed.wait_until(lock, deadline, [this] { return !Events.empty(); });
}

AnswerEvent AnswerChannel::nextEvent(base::TimePoint deadline) {
  std::unique_lock lock(Mutex);
  if (!Changed.wait_until(lock, deadline, [this] { return !Events.empty(); }))
    return AttemptFailed{Executed::Unknown, "answer",
                         "no answer before the deadline"};
  AnswerEvent event = std::move(Events.front());
  Events.pop_front();
  if (const auto *bytes = std::get_if<AnswerBytes>(&event))
    HeldBytes -= bytes->Bytes.size();
  return event;
}

} // namespace bergamot::bergamotd
