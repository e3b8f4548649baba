#ifndef BERGAMOT_REVIEW_SUPPORT2_ENTRY_H
#define BERGAMOT_REVIEW_SUPPORT2_ENTRY_H

#include "socket.h"
#include "store.h"

#include <sys/types.h>

#include <functional>
#include <memory>
#include <string>

namespace review {

/// One machine of the class `frontend`: a process of the role `entry`, started
/// with the program of the deploy file and settings as its template gives them
/// for a small deployment.
class Entry {
public:
  struct Settings {
    std::string Name;
    std::string Zone;
    /// The machine's own address.
    std::string Address;
    /// Ports are the same on all machines.
    unsigned short CallerPort = 0;
    unsigned short ReadyPort = 0;
    unsigned short PeerPort = 0;
    unsigned short MetricsPort = 0;
    /// Folder for the settings file and the log.
    std::string Folder;
  };

  Entry(Settings settings, Store &store);
  ~Entry();
  Entry(const Entry &) = delete;
  Entry &operator=(const Entry &) = delete;

  void start();
  /// Sends a signal to the process.
  void signal(int number) const;
  /// Kills the process and waits for its end.
  void kill();
  /// Returns whether the process says that it is ready.
  bool isReady() const;
  /// Returns whether the process still runs.
  bool isRunning();

  /// Returns the resident memory of the process in bytes; 0 if it has ended.
  std::size_t memoryBytes() const;

  const Settings &settings() const { return Config; }
  Store::Door &door() { return StoreDoor; }

private:
  Settings Config;
  Store::Door StoreDoor;
  pid_t Pid = -1;
};

/// A request of a client.
struct Request {
  std::string Id;
  std::string Method = "POST";
  std::string Path;
  std::string Key;
  std::string Body;
  std::chrono::milliseconds Budget{4000};
  /// The client doesn't read for this long after it has sent the request.
  std::chrono::milliseconds ReadPause{0};
};

/// A client's channel to an entry, kept for several requests.
class Channel {
public:
  /// How an answer ended.
  enum class Ending { Complete, Cut, NoAnswer };

  explicit Channel(const Entry &entry, int receiveBytes = 0);
  bool isOpen() const { return Connection != nullptr; }
  /// Sends a request and reads its answer. `status` is 0 if none came. The
  /// ending is NoAnswer if not one byte of an answer came.
  Ending exchange(const Request &it, int &status);

private:
  std::unique_ptr<Socket> Connection;
  std::string Input;
};

/// Sends a request on a channel of its own. Returns the status of the answer; 0
/// if none came within the time budget.
int sendAlone(const Entry &entry, const Request &it);

/// Waits until a condition holds. Returns false if it doesn't by the deadline.
bool waitUntil(const std::function<bool()> &condition, TimePoint deadline);

constexpr auto HostName = "desk.example";

} // namespace review

#endif
