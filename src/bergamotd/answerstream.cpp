#include "bergamotd/answerstream.h"

#include "libbergamotbase/responsestatus.h"

#include <cstdlib>

namespace bergamot::bergamotd {

namespace fb = wire::fb;
using routing::StreamResult;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t TakeBytes = 16 * 1024;

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

bool isFault(StreamResult result) {
  return result != StreamResult::Accepted && result != StreamResult::Repeated &&
         result != StreamResult::Ignored;
}

} // namespace

AnswerStream::AnswerStream(AnswerMemory &memory, const base::RequestId &request,
                           bool resumable)
    : Memory(memory), HashSeed(base::xxHash64(request.Value)),
      IsResumable(resumable) {
  const std::lock_guard lock(Memory.Mutex);
  Id = Memory.addStream([this] { park(); });
  resetBuffer();
}

AnswerStream::~AnswerStream() {
  const std::lock_guard lock(Memory.Mutex);
  Memory.removeStream(Id);
  Buffer.reset();
}

void AnswerStream::resetBuffer() {
  Buffer.reset();
  Buffer = std::make_unique<routing::StreamBuffer>(
      Id, IsResumable, Memory.Budget, steady_clock::now());
  Buffer->setHashSeed(HashSeed);
  Delivered.reset();
}

std::uint64_t AnswerStream::startAttempt() {
  const std::lock_guard lock(Memory.Mutex);
  Head.reset();
  Final.reset();
  HasHead = false;
  if (std::exchange(IsFirstAttempt, false))
    return 0;
  if (Buffer->deliveredTo() == 0 || !IsResumable) {
    resetBuffer();
    return 0;
  }
  Buffer->park();
  return Buffer->resume().value_or(Buffer->deliveredTo());
}

std::optional<std::uint64_t> AnswerStream::takeWindow() {
  const std::lock_guard lock(Memory.Mutex);
  if (Final)
    return std::nullopt;
  auto window = Buffer->extendWindow();
  if (!window && Buffer->isWindowFull()) {
    Memory.makeRoom(steady_clock::now());
    window = Buffer->extendWindow();
  }
  return window;
}

void AnswerStream::addMessage(const wire::Envelope &message) {
  const std::lock_guard lock(Memory.Mutex);
  if (Final)
    return; // Late frames of an attempt that was given up.
  if (const auto *refused = wire::payloadAs<fb::RefusedT>(message))
    setFinal(AttemptRefused{refused->reason,
                            std::chrono::milliseconds(refused->retry_after_ms),
                            refused->detail});
  else if (const auto *head = wire::payloadAs<fb::HeadT>(message))
    addHead(*head);
  else if (const auto *chunk = wire::payloadAs<fb::ChunkT>(message))
    addChunk(*chunk);
  else if (const auto *end = wire::payloadAs<fb::EndT>(message))
    addEnd(*end);
  else if (const auto *failed = wire::payloadAs<fb::FailedT>(message))
    setFinal(AttemptFailed{toExecuted(failed->executed), failed->step,
                           failed->detail});
  else if (wire::payloadAs<fb::ParkT>(message) != nullptr)
    addPark();
  Changed.notify_one();
}

void AnswerStream::addHead(const fb::HeadT &head) {
  if (std::exchange(HasHead, true))
    return setCorrupted("a second head");
  // A sidecar of an older version passes on whatever its back end sends.
  if (!base::isFinalStatus(head.status))
    return setCorrupted("a status that HTTP doesn't allow for a response");
  AnswerHead result{head.status, {}};
  for (const auto &it : head.headers)
    result.Headers.push_back({it->name, it->value});
  // A resumed stream's own length says nothing about the whole body.
  const auto *length =
      adapterhttp::findHeader(result.Headers, "Content-Length");
  if (length != nullptr && Buffer->deliveredTo() == 0)
    Buffer->setExpectedLength(std::strtoull(length->c_str(), nullptr, 10));
  Head = std::move(result);
}

void AnswerStream::addChunk(const fb::ChunkT &chunk) {
  const std::string_view bytes(
      reinterpret_cast<const char *>(chunk.bytes.data()), chunk.bytes.size());
  if (!HasHead || isFault(Buffer->addChunk(chunk.offset, bytes, chunk.hash)))
    setCorrupted("a chunk that doesn't belong there");
}

void AnswerStream::addEnd(const fb::EndT &end) {
  if (!HasHead || isFault(Buffer->setEnd(end.total_length, end.hash)))
    return setCorrupted("an end whose length or hash is wrong");
  setFinal(AnswerEnd{});
}

void AnswerStream::addPark() {
  if (!IsResumable)
    return setCorrupted("Park for an answer that can't be resumed");
  setFinal(AnswerParked{});
}

void AnswerStream::setCorrupted(const char *what) {
  setFinal(AttemptFailed{Executed::Unknown, "answer",
                         std::string("the target sent ") + what});
}

void AnswerStream::setFinal(AnswerEvent event) {
  if (!Final)
    Final = std::move(event);
  Changed.notify_one();
}

void AnswerStream::addFailure(AttemptFailed failure) {
  const std::lock_guard lock(Memory.Mutex);
  setFinal(std::move(failure));
}

void AnswerStream::park() {
  if (!Buffer->park())
    return;
  // Whatever the attempt's end was, its bytes are gone and come again.
  Final = AnswerParked{};
  Changed.notify_one();
}

bool AnswerStream::isBytesReady(bool whole) const {
  if (Buffer->buffered() == 0)
    return false;
  return whole ? Buffer->isWindowFull() && !Buffer->isVerified() : true;
}

std::optional<AnswerEvent> AnswerStream::takeEvent(bool whole) {
  if (Head)
    return std::exchange(Head, std::nullopt);
  if (isBytesReady(whole)) {
    std::string bytes = take(TakeBytes);
    if (!bytes.empty())
      return AnswerBytes{std::move(bytes)};
  }
  return Final;
}

std::optional<AnswerEvent> AnswerStream::nextEvent(bool whole,
                                                   base::TimePoint deadline) {
  Lock lock(Memory.Mutex);
  std::optional<AnswerEvent> event;
  Changed.wait_until(lock, deadline, [&] {
    event = takeEvent(whole);
    return event.has_value();
  });
  return event;
}

std::string AnswerStream::takeRest() {
  const std::lock_guard lock(Memory.Mutex);
  return take(routing::StreamWindowBytes);
}

std::string AnswerStream::take(std::size_t most) {
  std::string bytes = Buffer->take(most, steady_clock::now());
  Delivered.add(bytes);
  return bytes;
}

std::uint64_t AnswerStream::deliveredHash() const {
  const std::lock_guard lock(Memory.Mutex);
  return Delivered.value();
}

std::uint64_t AnswerStream::deliveredTo() const {
  const std::lock_guard lock(Memory.Mutex);
  return Buffer->deliveredTo();
}

} // namespace bergamot::bergamotd
