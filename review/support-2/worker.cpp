#include "worker.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <sstream>

namespace review {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds HeartbeatInterval{1200};
constexpr std::chrono::seconds IdleTimeout{10};

std::int64_t unixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

void Runs::add(Run it) {
  const std::lock_guard lock(Mutex);
  All.push_back(std::move(it));
}

std::vector<Run> Runs::of(const std::string &requestId) const {
  const std::lock_guard lock(Mutex);
  std::vector<Run> runs;
  std::copy_if(All.begin(), All.end(), std::back_inserter(runs),
               [&](const Run &it) { return it.RequestId == requestId; });
  return runs;
}

Worker::Worker(Settings settings, Store &store, Runs &runs, Record &record)
    : Config(std::move(settings)), Registry(store), AllRuns(runs), Log(record),
      StartedAtMs(unixMilliseconds()),
      Entrance("127.0.0.1", [this](Socket &it) { serve(it); }),
      Heartbeat([this] {
        std::unique_lock lock(Mutex);
        do
          publish();
        while (!Stopped.wait_for(lock, HeartbeatInterval,
                                 [this] { return Stopping; }));
      }) {}

Worker::~Worker() {
  {
    const std::lock_guard lock(Mutex);
    Stopping = true;
  }
  Stopped.notify_all();
  Heartbeat.join();
}

void Worker::publish() {
  const json entry = {
      {"service", Config.Service},
      {"address", "127.0.0.1:" + std::to_string(Entrance.port())},
      {"zone", Config.Zone},
      {"version", "1"},
      {"slots", Config.Slots},
      {"state", "ready"},
      {"cold-remaining-ms", 0},
      {"sequence", ++Sequence},
      {"born", StartedAtMs}};
  (void)Registry.put("keyed.servers", Config.Id, entry.dump());
}

void Worker::serve(Socket &socket) {
  std::string buf;
  Message request;
  while (readMessage(socket, buf, Clock::now() + IdleTimeout, request)) {
    const bool isMine =
        request.field("bergamotloft-expect-instance") == Config.Id;
    const std::string refusal =
        "HTTP/1.1 421 Misdirected Request\r\nBergamotloft-Request-Id: " +
        request.field("bergamotloft-request-id") +
        "\r\nBergamotloft-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    if (!(isMine ? run(socket, request) : socket.send(refusal)))
      return;
  }
}

/// Runs a request. Returns false if its connection has ended.
bool Worker::run(Socket &socket, const Message &request) {
  const std::string id = request.field("bergamotloft-request-id");
  const std::string tenant = request.field("bergamotloft-tenant");
  AllRuns.add({id, Config.Id, tenant, Clock::now()});
  Log.line("worker " + Config.Id + " runs " + id + " for tenant '" + tenant +
           "'");
  std::this_thread::sleep_for(Config.Work);
  const std::string head =
      "HTTP/1.1 200 OK\r\nBergamotloft-Request-Id: " + id +
      "\r\nBergamotloft-Response-Signature: signature-of-" + id + "\r\n";
  if (Config.Events > 0)
    return socket.send(head + "Content-Type: text/event-stream\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n") &&
           streamEvents(socket);
  const std::string body(Config.AnswerBytes, 'x');
  return socket.send(head + "Content-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body);
}

bool Worker::streamEvents(Socket &socket) const {
  for (unsigned i = 1; i <= Config.Events; ++i) {
    const std::string event =
        "id: " + std::to_string(i) + "\ndata: " + std::string(50, 'x') + "\n\n";
    std::ostringstream chunk;
    chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
    if (!socket.send(chunk.str()))
      return false;
    std::this_thread::sleep_for(Config.EventGap);
  }
  return socket.send("0\r\n\r\n");
}

} // namespace review
