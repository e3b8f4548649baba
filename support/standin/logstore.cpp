#include "standin/logstore.h"

#include <algorithm>

namespace bergamot::standin {

LogStore::LogStore(const LogStoreOptions &options)
    : Options(options), Tokens(options.AppendsPerSecond),
      TokensAt(base::TimePoint::clock::now()) {}

std::optional<std::uint64_t>
LogStore::append(const std::string &stream,
                 const std::vector<std::string> &records) {
  std::uint64_t first = 0;
  {
    std::lock_guard lock(Mutex);
    if (!takeAppend())
      return std::nullopt;
    Stream &it = Streams[stream];
    first = it.Next;
    for (const std::string &text : records)
      it.Records.push_back({it.Next++, base::wallNow(), text});
    expire(it);
  }
  Appended.notify_all();
  return first;
}

StoredRecords LogStore::read(const std::string &stream, std::uint64_t from,
                             std::size_t limit, base::TimePoint deadline) {
  std::unique_lock lock(Mutex);
  Appended.wait_until(lock, deadline, [&] {
    auto it = Streams.find(stream);
    return it != Streams.end() && it->second.Next > from;
  });
  StoredRecords result;
  auto found = Streams.find(stream);
  if (found == Streams.end()) {
    result.Next = from;
    return result;
  }
  Stream &it = found->second;
  expire(it);
  result.Earliest = it.Records.empty() ? it.Next : it.Records.front().Offset;
  result.Next = std::max(from, result.Earliest);
  while (result.Next < it.Next && result.Records.size() < limit) {
    result.Records.push_back(it.Records[result.Next - result.Earliest]);
    ++result.Next;
  }
  return result;
}

void LogStore::removeBefore(const std::string &stream, std::uint64_t offset) {
  std::lock_guard lock(Mutex);
  auto it = Streams.find(stream);
  if (it == Streams.end())
    return;
  auto &records = it->second.Records;
  while (!records.empty() && records.front().Offset < offset)
    records.pop_front();
}

std::map<std::string, std::uint64_t> LogStore::ends() const {
  std::lock_guard lock(Mutex);
  std::map<std::string, std::uint64_t> all;
  for (const auto &[name, it] : Streams)
    all[name] = it.Next;
  return all;
}

bool LogStore::takeAppend() {
  if (Options.AppendsPerSecond <= 0)
    return true;
  auto now = base::TimePoint::clock::now();
  std::chrono::duration<double> passed = now - TokensAt;
  TokensAt = now;
  Tokens = std::min(Tokens + passed.count() * Options.AppendsPerSecond,
                    std::max(1.0, Options.AppendsPerSecond));
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

void LogStore::expire(Stream &stream) const {
  auto oldest = base::wallNow() - Options.MaxAge;
  while (!stream.Records.empty() &&
         (stream.Records.size() > Options.MaxRecordsPerStream ||
          stream.Records.front().Time < oldest))
    stream.Records.pop_front();
}

} // namespace bergamot::standin
