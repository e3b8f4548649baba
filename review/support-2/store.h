#ifndef BERGAMOT_REVIEW_SUPPORT2_STORE_H
#define BERGAMOT_REVIEW_SUPPORT2_STORE_H

#include "socket.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace review {

/// The platform's store: keyed topics with one partition, as PROTOCOL.md
/// describes them. Nothing expires, as no case runs longer than records are
/// kept.
class Store {
public:
  /// How the store answers the calls of one machine: it serves them, rejects
  /// them with 503, or resets the machine's channels.
  enum class Access { Serve, Busy, Reset };

  /// The store's address as one machine sees it, so that the store can tell
  /// which machine calls.
  class Door {
  public:
    explicit Door(Store &store);
    unsigned short port() const { return Entrance.port(); }
    void setAccess(Access access) { CurrentAccess = access; }
    bool isServed() const { return CurrentAccess == Access::Serve; }

  private:
    void serve(Socket &socket);

    Store &Owner;
    std::atomic<Access> CurrentAccess = Access::Serve;
    Listener Entrance;
  };

  /// Appends a record; no value removes the key. Returns when the store has
  /// acknowledged it.
  TimePoint put(const std::string &topic, const std::string &key,
                const std::optional<std::string> &value);

private:
  struct Record {
    std::string Key;
    std::optional<std::string> Value;
  };
  using Records = std::vector<Record>;
  using Parameters = std::map<std::string, std::string>;

  /// Answers a call; a long poll ends early once the machine is turned away.
  std::string answer(const Message &request, const Door &door);
  std::string read(const Parameters &it, const Door &door);
  std::string readNewest(const Parameters &it);
  std::string append(const Parameters &it, const std::string &body);

  std::mutex Mutex;
  std::condition_variable Appended;
  std::map<std::string, Records> Topics;
};

} // namespace review

#endif
