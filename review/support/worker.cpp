#include "worker.h"

#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <thread>

namespace bergamot::review {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds CheckInInterval{1200};
constexpr auto WorkersTopic = "keyed.servers";

} // namespace

Worker::Worker(const std::string &address, std::string id,
               WorkerOptions options, Store &store, Record &record)
    : Listener(listenOn(address, Listening)), Id(std::move(id)),
      Options(std::move(options)), Platform(store), Log(record),
      BornMs(std::chrono::duration_cast<milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()) {
  serveForever(Listener, [this](int fd) { serve(fd); });
  std::thread([this] {
    for (;;) {
      checkIn();
      std::this_thread::sleep_for(CheckInInterval);
    }
  }).detach();
}

void Worker::checkIn() {
  const std::lock_guard lock(Mutex);
  if (!Listed)
    return;
  json entry = {{"service", Options.Service},
                {"address", Listening.text()},
                {"zone", Options.Zone},
                {"version", "v1"},
                {"slots", Options.Slots},
                {"state", "ready"},
                {"cold-remaining-ms", 0},
                {"sequence", ++Sequence},
                {"born", BornMs}};
  if (!Options.Group.empty()) {
    entry["group"] = {{"name", Options.Group},
                      {"epoch", 1},
                      {"rank", Options.Rank},
                      {"state", "open"}};
    entry["size"] = Options.GroupSize;
  }
  Platform.put(WorkersTopic, Id, entry.dump());
}

void Worker::removeEntry() {
  const std::lock_guard lock(Mutex);
  Listed = false;
  Platform.put(WorkersTopic, Id, "");
}

void Worker::exit() {
  Exited = true;
  (void)::shutdown(Listener, SHUT_RDWR);
  ::close(Listener);
  const std::lock_guard lock(Mutex);
  // The thread of each connection closes it. The pending reset is sent then.
  for (const int fd : Connections) {
    const linger it{1, 0};
    (void)::setsockopt(fd, SOL_SOCKET, SO_LINGER, &it, sizeof it);
    (void)::shutdown(fd, SHUT_RD);
  }
}

std::vector<Arrival> Worker::arrivals() {
  const std::lock_guard lock(Mutex);
  return Arrivals;
}

void Worker::serve(int fd) {
  {
    const std::lock_guard lock(Mutex);
    Connections.insert(fd);
  }
  HttpReader reader(fd);
  while (const auto request = reader.read())
    if (Exited || !run(fd, *request))
      break;
  const std::lock_guard lock(Mutex);
  Connections.erase(fd);
  ::close(fd);
}

bool Worker::run(int fd, const HttpMessage &request) {
  const std::string id = request.field("bergamotloft-request-id");
  if (request.field("bergamotloft-expect-instance") != Id)
    return sendAll(fd, "HTTP/1.1 421 Misdirected Request\r\n"
                       "Bergamotloft-Instance-Id: " +
                           Id + "\r\nContent-Length: 0\r\n\r\n");
  if (Full) {
    Log.write("worker " + Id + " is full and rejects request " + id);
    return sendAll(fd, "HTTP/1.1 503 Service Unavailable\r\n"
                       "Bergamotloft-Not-Executed: 1\r\n"
                       "Bergamotloft-Request-Id: " +
                           id + "\r\nContent-Length: 0\r\n\r\n");
  }
  {
    const std::lock_guard lock(Mutex);
    Arrivals.push_back({id, Log.now()});
  }
  Log.write("worker " + Id + " runs request " + id);
  const std::string head = "HTTP/1.1 200 OK\r\nBergamotloft-Request-Id: " + id +
                           "\r\nBergamotloft-Response-Signature: s-" + id +
                           "\r\n";
  if (Options.Events > 0) {
    const std::string last = request.field("last-event-id");
    return stream(fd, head, last.empty() ? 1 : std::stoul(last) + 1);
  }
  std::this_thread::sleep_for(Options.WorkTime);
  if (Exited) {
    Log.write("worker " + Id + " exits while it runs request " + id);
    return false;
  }
  return sendAll(
      fd, head + "Content-Length: " + std::to_string(Options.ResponseBytes) +
              "\r\n\r\n" + std::string(Options.ResponseBytes, 'x'));
}

bool Worker::stream(int fd, const std::string &head, unsigned firstEvent) {
  std::string pending = head + "Content-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n";
  for (unsigned i = firstEvent; i <= Options.Events; ++i) {
    std::this_thread::sleep_for(Options.EventInterval);
    const std::string event =
        "id: " + std::to_string(i) + "\ndata: " + std::string(50, 'x') + "\n\n";
    std::array<char, 20> size{};
    (void)std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    pending += size.data() + event + "\r\n";
    if (Exited || !sendAll(fd, pending))
      return false;
    pending.clear();
    if (i == Options.PreemptedEvent && Options.PreemptionTime.count() > 0) {
      Log.write("worker " + Id + " preempts its stream");
      std::this_thread::sleep_for(Options.PreemptionTime);
      Log.write("worker " + Id + " goes on with its stream");
    }
  }
  return sendAll(fd, "0\r\n\r\n");
}

} // namespace bergamot::review
