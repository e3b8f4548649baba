#include "store.h"

#include <nlohmann/json.hpp>
#include <poll.h>

#include <cstdlib>

namespace review {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::chrono::seconds ConnectionLifetime{130};
/// How soon a change of the access takes effect.
constexpr milliseconds PollSlice{20};

std::string response(int status, const std::string &body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Answer\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string bigEndian(std::uint64_t number, int bytes) {
  std::string out;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
    out.push_back(static_cast<char>(number >> shift & 0xff));
  return out;
}

std::string base64(const std::string &bytes) {
  constexpr auto Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    unsigned group = 0;
    for (std::size_t i = 0; i < 3; ++i)
      group = group << 8 |
              (at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i])
                                     : 0U);
    for (std::size_t i = 0; i < 4; ++i)
      out.push_back(at + i <= bytes.size() ? Digits[group >> (18 - 6 * i) & 63]
                                           : '=');
  }
  return out;
}

std::map<std::string, std::string> parameters(const std::string &target) {
  std::map<std::string, std::string> all;
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string part = target.substr(at + 1, end - at - 1);
    const std::size_t equals = part.find('=');
    if (equals != std::string::npos)
      all[part.substr(0, equals)] = part.substr(equals + 1);
    at = end;
  }
  return all;
}

std::string parameter(const std::map<std::string, std::string> &all,
                      const std::string &name) {
  const auto it = all.find(name);
  return it == all.end() ? "" : it->second;
}

std::uint64_t number(const std::string &text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace

Store::Door::Door(Store &store)
    : Owner(store), Entrance("127.0.0.1", [this](Socket &it) { serve(it); }) {}

void Store::Door::serve(Socket &socket) {
  std::string buf;
  const TimePoint until = Clock::now() + ConnectionLifetime;
  while (Clock::now() < until && CurrentAccess != Access::Reset) {
    pollfd it{socket.fd(), POLLIN, 0};
    if (buf.empty() && ::poll(&it, 1, PollSlice.count()) == 0)
      continue;
    Message request;
    if (!readMessage(socket, buf, until, request))
      return;
    std::string bytes = isServed() ? Owner.answer(request, *this) : "";
    // The access may have changed during a long poll.
    if (CurrentAccess == Access::Reset)
      break;
    if (CurrentAccess == Access::Busy)
      bytes = response(503, "");
    if (!socket.send(bytes))
      return;
  }
  socket.reset();
}

TimePoint Store::put(const std::string &topic, const std::string &key,
                     const std::optional<std::string> &value) {
  {
    const std::lock_guard lock(Mutex);
    Topics[topic].push_back({key, value});
  }
  Appended.notify_all();
  return Clock::now();
}

std::string Store::answer(const Message &request, const Door &door) {
  const std::size_t space = request.StartLine.find(' ');
  const std::string target = request.StartLine.substr(
      space + 1, request.StartLine.rfind(' ') - space - 1);
  const std::string path = target.substr(0, target.find('?'));
  const Parameters all = parameters(target);
  if (path == "/v1/log-read")
    return read(all, door);
  if (path == "/v1/log-newest")
    return readNewest(all);
  if (path == "/v1/log-append")
    return append(all, request.Body);
  return response(404, "");
}

std::string Store::read(const Parameters &it, const Door &door) {
  const std::size_t from = number(parameter(it, "from"));
  const TimePoint until =
      Clock::now() + milliseconds(number(parameter(it, "wait-ms")));
  std::unique_lock lock(Mutex);
  const Records &records = Topics[parameter(it, "topic")];
  while (records.size() <= from && Clock::now() < until && door.isServed())
    Appended.wait_for(lock, PollSlice);
  std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
  for (std::size_t i = from; i < records.size(); ++i) {
    const std::string value = records[i].Value.value_or("");
    const std::string &key = records[i].Key;
    body.append(bigEndian(1 + key.size() + value.size(), 4));
    body.append(bigEndian(key.size(), 1)).append(key).append(value);
  }
  return response(200, body);
}

std::string Store::readNewest(const Parameters &it) {
  const std::lock_guard lock(Mutex);
  const Records &records = Topics[parameter(it, "topic")];
  std::map<std::string, std::size_t> newest;
  for (std::size_t i = 0; i < records.size(); ++i) {
    if (records[i].Value)
      newest[records[i].Key] = i;
    else
      newest.erase(records[i].Key);
  }
  json items = json::array();
  for (const auto &[key, offset] : newest)
    items.push_back({{"key", key},
                     {"value", base64(*records[offset].Value)},
                     {"offset", offset}});
  return response(200, json{{"items", std::move(items)},
                            {"has-more", false},
                            {"end-offset", records.size()}}
                           .dump());
}

std::string Store::append(const Parameters &it, const std::string &body) {
  std::size_t end = 0;
  {
    const std::lock_guard lock(Mutex);
    Records &records = Topics[parameter(it, "topic")];
    const std::string at = parameter(it, "at");
    if (!at.empty() && number(at) != records.size())
      return response(412, json{{"end-offset", records.size()}}.dump());
    for (std::size_t i = 0; i + 5 <= body.size();) {
      std::size_t n = 0;
      for (int b = 0; b < 4; ++b)
        n = n << 8 | static_cast<unsigned char>(body[i + b]);
      const std::size_t keyBytes = static_cast<unsigned char>(body[i + 4]);
      Record record{body.substr(i + 5, keyBytes), std::nullopt};
      if (n > 1 + keyBytes)
        record.Value = body.substr(i + 5 + keyBytes, n - 1 - keyBytes);
      records.push_back(std::move(record));
      i += 4 + n;
    }
    end = records.size();
  }
  Appended.notify_all();
  return response(200, json{{"offset", end - 1}, {"end-offset", end}}.dump());
}

} // namespace review
