#include "standin/platformstandin.h"

#include "libbergamotbase/digest.h"
#include "libbergamotbase/error.h"

#include <algorithm>
#include <cmath>

namespace bergamot::standin {

namespace {

constexpr std::uint64_t DefaultReadLimit = 1000;
constexpr std::uint64_t MaxWaitMilliseconds = 60000;
constexpr std::chrono::milliseconds WaitSlice{50};

} // namespace

PlatformStandin::PlatformStandin(const PlatformOptions &options)
    : Options(options), Log(options.Log),
      WeightTokens(options.WeightBytesPerSecond),
      WeightTokensAt(base::TimePoint::clock::now()),
      Server(
          options.ListenEndpoint, options.Connections,
          [this](Exchange &exchange) { handle(exchange); },
          [this](nlohmann::json &faults) { takeRetention(faults); }) {}

void PlatformStandin::handle(Exchange &exchange) {
  if (exchange.is("POST", "/v1/streams/*/records"))
    handleAppend(exchange);
  else if (exchange.is("GET", "/v1/streams/*/records"))
    handleRead(exchange);
  else if (exchange.is("GET", "/debug/streams"))
    exchange.answer(200, {{"streams", Log.ends()}});
  else if (exchange.is("POST", "/v1/vms"))
    setVms(exchange);
  else if (exchange.is("GET", "/v1/vms"))
    handleVms(exchange);
  else if (exchange.is("GET", "/v1/weights/*/*/*"))
    handleWeights(exchange);
  else
    exchange.answerProblem(404, "no such endpoint");
}

void PlatformStandin::handleAppend(Exchange &exchange) {
  auto records = exchange.body().at("records").get<std::vector<std::string>>();
  auto first = Log.append(exchange.Path[2], records);
  if (!first) {
    exchange.answerProblem(429, "too many appends", {{"Retry-After", "1"}});
    return;
  }
  if (Server.faults().take(Fault::Repeat, exchange.Request.Path))
    Log.append(exchange.Path[2], records);
  exchange.answer(200, {{"first_offset", *first}});
}

void PlatformStandin::handleRead(Exchange &exchange) {
  std::uint64_t from = exchange.number("from", 0);
  std::uint64_t limit = exchange.number("limit", DefaultReadLimit);
  auto wait = std::min(exchange.number("wait_ms", 0), MaxWaitMilliseconds);
  auto deadline =
      base::TimePoint::clock::now() + std::chrono::milliseconds(wait);
  StoredRecords read;
  do {
    auto now = base::TimePoint::clock::now();
    read = Log.read(exchange.Path[2], from, limit,
                    std::min(deadline, now + WaitSlice));
  } while (read.Records.empty() && !exchange.isAbandoned() &&
           base::TimePoint::clock::now() < deadline);
  if (Server.faults().take(Fault::Reorder, exchange.Request.Path))
    std::reverse(read.Records.begin(), read.Records.end());
  nlohmann::json records = nlohmann::json::array();
  for (const StoredRecord &it : read.Records)
    records.push_back({{"offset", it.Offset},
                       {"time_ms", base::toUnixMilliseconds(it.Time)},
                       {"data", it.Text}});
  exchange.answer(200, {{"records", std::move(records)},
                        {"next", read.Next},
                        {"earliest", read.Earliest}});
}

void PlatformStandin::takeRetention(nlohmann::json &faults) {
  auto it = faults.find("retain_from");
  if (it == faults.end())
    return;
  Log.removeBefore(faults.at("stream").get<std::string>(),
                   it->get<std::uint64_t>());
  faults.erase("retain_from");
  faults.erase("stream");
}

void PlatformStandin::setVms(Exchange &exchange) {
  auto vms = exchange.body().at("vms");
  {
    std::lock_guard lock(Mutex);
    auto now = base::TimePoint::clock::now();
    if (now >= VmsVisibleAt) {
      PastVms = PresentVms;
      PastVmsTime = PresentVmsTime;
    }
    PresentVms = vms;
    PresentVmsTime = base::wallNow();
    VmsVisibleAt = now + Options.VmListLag;
  }
  exchange.answer(200, {{"vms", vms}});
}

void PlatformStandin::handleVms(Exchange &exchange) {
  nlohmann::json body;
  {
    std::lock_guard lock(Mutex);
    bool visible = base::TimePoint::clock::now() >= VmsVisibleAt;
    body = {{"vms", visible ? PresentVms : PastVms},
            {"time_ms",
             base::toUnixMilliseconds(visible ? PresentVmsTime : PastVmsTime)}};
  }
  exchange.answer(200, body);
}

void PlatformStandin::handleWeights(Exchange &exchange) {
  std::string name =
      exchange.Path[2] + "/" + exchange.Path[3] + "/" + exchange.Path[4];
  std::string content = weightContent(name, Options.WeightBytes);
  std::uint64_t offset = exchange.number("offset", 0);
  if (offset > content.size()) {
    exchange.answerProblem(416, "the offset is past the end");
    return;
  }
  std::string part =
      content.substr(offset, exchange.number("length", content.size()));
  double wait = takeWeightBytes(static_cast<double>(part.size()));
  if (wait > 0) {
    exchange.answerProblem(
        429, "the rate limit is exceeded",
        {{"Retry-After", std::to_string(std::lround(std::ceil(wait)))}});
    return;
  }
  exchange.answerBytes(200, part,
                       {{"Content-Type", "application/octet-stream"},
                        {"X-Total-Length", std::to_string(content.size())},
                        {"X-Content-Hash", base::sha256Hex(content)}});
}

double PlatformStandin::takeWeightBytes(double bytes) {
  double rate = Options.WeightBytesPerSecond;
  if (rate <= 0)
    return 0;
  std::lock_guard lock(Mutex);
  auto now = base::TimePoint::clock::now();
  std::chrono::duration<double> passed = now - WeightTokensAt;
  WeightTokensAt = now;
  WeightTokens = std::min(WeightTokens + passed.count() * rate, rate);
  // A read larger than the bucket is let through when the bucket is full, and
  // leaves a debt.
  double needed = std::min(bytes, rate);
  if (WeightTokens < needed)
    return (needed - WeightTokens) / rate;
  WeightTokens -= bytes;
  return 0;
}

std::string PlatformStandin::weightContent(const std::string &name,
                                           std::size_t bytes) {
  constexpr std::size_t WordBytes = 8;
  std::string content;
  content.reserve(bytes + WordBytes);
  std::uint64_t seed = base::xxHash64(name);
  while (content.size() < bytes) {
    seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
    for (std::size_t i = 0; i < WordBytes; ++i)
      content.push_back(static_cast<char>(seed >> (i * 8)));
  }
  content.resize(bytes);
  return content;
}

} // namespace bergamot::standin
