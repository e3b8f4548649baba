#include "store.h"

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <algorithm>

namespace bergamot::review {

using nlohmann::json;

namespace {

constexpr std::size_t LengthBytes = 4;

std::string bigEndian(std::uint64_t value, int bytes) {
  std::string out;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
    out.push_back(static_cast<char>(value >> shift & 0xff));
  return out;
}

std::size_t decodeLength(const std::string &bytes, std::size_t at) {
  std::size_t n = 0;
  for (std::size_t i = 0; i < LengthBytes; ++i)
    n = n << 8 | static_cast<unsigned char>(bytes[at + i]);
  return n;
}

std::string encodeBase64(const std::string &bytes) {
  constexpr const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t word = 0;
    const std::size_t n = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t j = 0; j < 3; ++j)
      word =
          word << 8 | (j < n ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    for (std::size_t j = 0; j < 4; ++j)
      out.push_back(j <= n ? Digits[word >> (18 - 6 * j) & 63] : '=');
  }
  return out;
}

std::string response(int status, const std::string &type,
                     const std::string &body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Status\r\nContent-Type: " + type +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string jsonResponse(int status, const json &body) {
  return response(status, "application/json", body.dump());
}

} // namespace

Store::Store(const std::string &address) {
  const int listener = listenOn(address, Listening);
  serveForever(listener, [this](int fd) { serve(fd); });
}

void Store::put(const std::string &topic, const std::string &key,
                const std::string &value) {
  const std::lock_guard lock(Mutex);
  Topics[topic].push_back({key, value});
  Changed.notify_all();
}

void Store::serve(int fd) {
  HttpReader reader(fd);
  while (const auto request = reader.read()) {
    const std::string target = request->secondWord();
    std::string answer;
    if (target.starts_with("/v1/log-append"))
      answer = append(*request, target);
    else if (target.starts_with("/v1/log-read"))
      answer = read(target);
    else if (target.starts_with("/v1/log-newest"))
      answer = newest(target);
    else
      answer = response(404, "text/plain", "");
    if (!sendAll(fd, answer))
      break;
  }
  ::close(fd);
}

std::string Store::append(const HttpMessage &request,
                          const std::string &target) {
  const std::lock_guard lock(Mutex);
  Topic &topic = Topics[queryParameter(target, "topic")];
  const std::string at = queryParameter(target, "at");
  if (!at.empty() && std::stoul(at) != topic.size())
    return jsonResponse(412, {{"end-offset", topic.size()}});
  const std::size_t first = topic.size();
  const std::string &bytes = request.Body;
  for (std::size_t i = 0; i + LengthBytes <= bytes.size();) {
    const std::size_t n = decodeLength(bytes, i);
    const std::string content = bytes.substr(i + LengthBytes, n);
    i += LengthBytes + n;
    if (content.empty())
      continue;
    const auto keyBytes = static_cast<unsigned char>(content[0]);
    topic.push_back(
        {content.substr(1, keyBytes),
         content.substr(std::min<std::size_t>(content.size(), 1U + keyBytes))});
  }
  Changed.notify_all();
  return jsonResponse(200, {{"offset", first}, {"end-offset", topic.size()}});
}

std::string Store::read(const std::string &target) {
  std::unique_lock lock(Mutex);
  const std::string name = queryParameter(target, "topic");
  const std::size_t from = std::stoul(queryParameter(target, "from"));
  const std::string wait = queryParameter(target, "wait-ms");
  const auto until = Clock::now() + std::chrono::milliseconds(
                                        wait.empty() ? 0 : std::stol(wait));
  Changed.wait_until(lock, until, [&] { return Topics[name].size() > from; });
  const Topic &topic = Topics[name];
  std::string body = bigEndian(topic.size(), 8) + bigEndian(0, 8);
  for (std::size_t i = from; i < topic.size(); ++i) {
    const std::string &key = topic[i].Key;
    std::string content(1, static_cast<char>(key.size()));
    content += key + topic[i].Value;
    body += bigEndian(content.size(), LengthBytes) + content;
  }
  return response(200, "application/octet-stream", body);
}

std::string Store::newest(const std::string &target) {
  const std::lock_guard lock(Mutex);
  const Topic &topic = Topics[queryParameter(target, "topic")];
  std::map<std::string, std::size_t> offsets;
  for (std::size_t i = 0; i < topic.size(); ++i)
    offsets[topic[i].Key] = i;
  json items = json::array();
  for (const auto &[key, offset] : offsets)
    if (!topic[offset].Value.empty())
      items.push_back({{"key", key},
                       {"value", encodeBase64(topic[offset].Value)},
                       {"offset", offset}});
  return jsonResponse(
      200,
      {{"items", items}, {"has-more", false}, {"end-offset", topic.size()}});
}

} // namespace bergamot::review
