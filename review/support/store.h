#ifndef BERGAMOT_REVIEW_STORE_H
#define BERGAMOT_REVIEW_STORE_H

#include "net.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace bergamot::review {

/// Stands in for the platform's store: keyed topics with one partition, with
/// append, long-polling read and the newest record of each key.
class Store {
public:
  explicit Store(const std::string &address);

  const Endpoint &endpoint() const { return Listening; }
  /// Appends a record; an empty value removes the key.
  void put(const std::string &topic, const std::string &key,
           const std::string &value);

private:
  struct KeyedRecord {
    std::string Key;
    std::string Value;
  };
  using Topic = std::vector<KeyedRecord>;

  void serve(int fd);
  std::string append(const HttpMessage &request, const std::string &target);
  std::string read(const std::string &target);
  std::string newest(const std::string &target);

  Endpoint Listening;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Topic> Topics;
};

} // namespace bergamot::review

#endif
