#include "bergamotd/targetjob.h"

#include "libbergamotbase/digest.h"
#include "libbergamotrouting/streambuffer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bergamot::bergamotd {

namespace fb = wire::fb;
using adapterhttp::HttpHeader;
using adapterhttp::HttpStream;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t ChunkBytes = 16 * 1024;

/// Status by which an engine says that it doesn't hold a stream.
constexpr int UnknownStreamStatus = 404;

/// Time for the call that cancels a stream at the engine.
constexpr std::chrono::milliseconds CancelTimeout{1000};

std::string_view asText(const std::vector<std::uint8_t> &bytes) {
  return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

} // namespace

TargetJob::TargetJob(wire::Envelope dispatch,
                     adapterpeer::PeerSessionPtr session,
                     adapterhttp::HttpClient &backEnd, JobSettings settings,
                     base::TimePoint received)
    : Message(std::move(dispatch)),
      Dispatch(wire::payloadAs<fb::DispatchT>(Message)),
      Session(std::move(session)), BackEnd(backEnd), Settings(settings),
      Received(received),
      Deadline(received + std::chrono::milliseconds(Dispatch->deadline_ms)),
      HashSeed(base::xxHash64(Message.request)), Window(Dispatch->window) {}

JobResult TargetJob::run() {
  JobResult result;
  if (isCancelled()) {
    result.Detail = "cancelled before the back end was called";
    return result;
  }
  std::unique_ptr<HttpStream> stream;
  try {
    stream = openBackEnd();
    result.Executed = fb::Executed::Yes;
    result.Status = stream->status();
    result.FirstByte = steady_clock::now() - Received;
    {
      const std::lock_guard lock(Mutex);
      Running = stream.get();
    }
    sendHead(*stream);
    relay(*stream, result);
  } catch (const adapterhttp::HttpClientError &e) {
    result.Detail = e.what();
    if (!e.requestMayHaveBeenSent()) {
      sendRefused(result.Detail);
    } else {
      if (result.Executed == fb::Executed::No)
        result.Executed = fb::Executed::Unknown;
      sendFailed(result, base::stepName(e.step()));
    }
  }
  const std::lock_guard lock(Mutex);
  Running = nullptr;
  return result;
}

std::unique_ptr<HttpStream> TargetJob::openBackEnd() {
  return Dispatch->resume_offset > 0 ? openResumed() : openWhole();
}

std::unique_ptr<HttpStream> TargetJob::openWhole() {
  std::vector<HttpHeader> headers = {{"X-Request-Id", Message.request}};
  for (const auto &it : Dispatch->headers)
    headers.push_back({it->name, it->value});
  return BackEnd.open(Dispatch->method, Dispatch->path, headers,
                      asText(Dispatch->body), Deadline);
}

std::unique_ptr<HttpStream> TargetJob::openResumed() {
  const nlohmann::json body = {{"offset", Dispatch->resume_offset}};
  auto stream = BackEnd.open(
      "POST", "/v1/streams/" + Message.request + "/resume",
      {{"Content-Type", "application/json"}}, body.dump(), Deadline);
  if (stream->status() != UnknownStreamStatus)
    return stream;
  stream = openWhole();
  skipDelivered(*stream);
  return stream;
}

void TargetJob::skipDelivered(HttpStream &stream) {
  // Another engine computes the response again. It continues the caller's
  // only if its beginning is the same, which sampling may prevent.
  std::uint64_t left = Dispatch->resume_offset;
  base::StreamHash hash;
  while (left > 0) {
    const std::string bytes =
        stream.read(std::min<std::uint64_t>(left, ChunkBytes), Deadline);
    if (bytes.empty())
      break;
    hash.add(bytes);
    left -= bytes.size();
  }
  if (left > 0 || hash.value() != Dispatch->resume_hash)
    throw adapterhttp::HttpClientError(
        base::Step::Answer, BackEnd.endpoint(),
        "the response computed again differs from the first", true);
}

void TargetJob::relay(HttpStream &stream, JobResult &result) {
  std::uint64_t offset = Dispatch->resume_offset;
  base::StreamHash hash;
  for (;;) {
    const WindowState state = waitForWindow(offset);
    if (state == WindowState::Full && Dispatch->resumable)
      return park(offset, result);
    if (state != WindowState::Open) {
      result.Detail = state == WindowState::Cancelled
                          ? "cancelled by the entry"
                          : "the reader took nothing before the deadline";
      cancelAtEngine();
      return sendFailed(result, "answer");
    }
    std::size_t most = ChunkBytes;
    {
      const std::lock_guard lock(Mutex);
      most = std::min<std::uint64_t>(most, Window - offset);
    }
    const std::string bytes = stream.read(most, Deadline);
    if (bytes.empty())
      break;
    fb::ChunkT chunk;
    chunk.offset = offset;
    chunk.hash = routing::chunkHash(HashSeed, offset, bytes);
    chunk.bytes.assign(bytes.begin(), bytes.end());
    hash.add(bytes);
    offset += bytes.size();
    send(wire::makeEnvelope(std::move(chunk)));
  }
  result.Bytes = offset;
  result.IsComplete = true;
  sendEnd(offset, hash.value());
}

TargetJob::WindowState TargetJob::waitForWindow(std::uint64_t offset) {
  std::unique_lock lock(Mutex);
  const auto isReady = [&] { return IsCancelled || Window > offset; };
  const auto parkAt = std::min(
      Deadline, steady_clock::now() + base::Duration(Settings.ParkAfter));
  if (!Changed.wait_until(lock, parkAt, isReady) && Dispatch->resumable)
    return WindowState::Full;
  if (!Changed.wait_until(lock, Deadline, isReady))
    return WindowState::Expired;
  return IsCancelled ? WindowState::Cancelled : WindowState::Open;
}

void TargetJob::park(std::uint64_t offset, JobResult &result) {
  cancelAtEngine();
  result.IsParked = true;
  result.IsComplete = true;
  result.Bytes = offset;
  send(wire::makeEnvelope(fb::ParkT()));
}

void TargetJob::setWindow(std::uint64_t receivedUpTo) {
  const std::lock_guard lock(Mutex);
  Window = std::max(Window, receivedUpTo);
  Changed.notify_one();
}

void TargetJob::cancel() {
  const std::lock_guard lock(Mutex);
  IsCancelled = true;
  Changed.notify_one();
  if (Running != nullptr && Dispatch->resumable)
    Running->cancel();
}

bool TargetJob::isCancelled() {
  const std::lock_guard lock(Mutex);
  return IsCancelled;
}

void TargetJob::cancelAtEngine() {
  if (!Dispatch->resumable)
    return;
  try {
    BackEnd.request("POST", "/v1/streams/" + Message.request + "/cancel", {},
                    "", steady_clock::now() + CancelTimeout);
  } catch (const base::Error &) {
    // The engine also ends the stream when its connection closes.
  }
}

void TargetJob::sendHead(const HttpStream &stream) {
  fb::HeadT head;
  head.status = static_cast<std::uint16_t>(stream.status());
  for (const auto &it : stream.headers()) {
    auto header = std::make_unique<fb::HeaderT>();
    header->name = it.Name;
    header->value = it.Value;
    head.headers.push_back(std::move(header));
  }
  send(wire::makeEnvelope(std::move(head)));
}

void TargetJob::sendEnd(std::uint64_t total, std::uint64_t hash) {
  fb::EndT end;
  end.total_length = total;
  end.hash = hash;
  send(wire::makeEnvelope(end));
}

void TargetJob::sendRefused(const std::string &detail) {
  fb::RefusedT refused;
  refused.reason = fb::RefusalReason::BackEndDown;
  refused.detail = detail;
  send(wire::makeEnvelope(std::move(refused)));
}

void TargetJob::sendFailed(const JobResult &result, const char *step) {
  fb::FailedT failed;
  failed.executed = result.Executed;
  failed.step = step;
  failed.detail = result.Detail;
  send(wire::makeEnvelope(std::move(failed)));
}

bool TargetJob::send(wire::Envelope message) {
  message.request = Message.request;
  message.attempt = Message.attempt;
  return Session->send(std::move(message));
}

} // namespace bergamot::bergamotd
