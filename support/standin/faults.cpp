#include "standin/faults.h"

#include "libbergamotbase/error.h"

namespace bergamot::standin {

namespace {

constexpr std::array<const char *, 5> Names = {"down", "lose_answers", "repeat",
                                               "reorder", "silent"};

std::size_t indexOf(Fault fault) { return static_cast<std::size_t>(fault); }

std::int64_t parseCount(const std::string &name, const nlohmann::json &value) {
  if (value.is_boolean())
    return value.get<bool>() ? -1 : 0;
  if (value.is_number_integer() && value.get<std::int64_t>() >= -1)
    return value.get<std::int64_t>();
  throw base::Error(base::Step::Parse, "",
                    name + " takes true, false or a count");
}

} // namespace

void Faults::set(const nlohmann::json &body) {
  if (!body.is_object())
    throw base::Error(base::Step::Parse, "", "faults are a JSON object");
  std::lock_guard lock(Mutex);
  for (const auto &[name, value] : body.items()) {
    if (name == "clear") {
      Counts = {};
      DelayCount = 0;
      PathPrefix.clear();
    } else if (name == "slow_ms") {
      Delay = std::chrono::milliseconds(parseCount(name, value));
      DelayCount = Delay.count() == 0 ? 0 : Unlimited;
    } else if (name == "path") {
      PathPrefix = value.get<std::string>();
    } else if (name != "slow_count") {
      std::size_t i = 0;
      while (i < Names.size() && name != Names[i])
        ++i;
      if (i == Names.size())
        throw base::Error(base::Step::Parse, "", "unknown fault " + name);
      Counts[i] = parseCount(name, value);
    }
  }
  // After slow_ms, which sets the count to unlimited.
  if (auto it = body.find("slow_count"); it != body.end())
    DelayCount = parseCount("slow_count", *it);
}

nlohmann::json Faults::present() const {
  std::lock_guard lock(Mutex);
  nlohmann::json all = {{"slow_ms", Delay.count()},
                        {"slow_count", DelayCount},
                        {"path", PathPrefix}};
  for (std::size_t i = 0; i < Names.size(); ++i)
    all[Names[i]] = Counts[i];
  return all;
}

bool Faults::take(Fault fault, std::string_view path) {
  std::lock_guard lock(Mutex);
  std::int64_t &count = Counts[indexOf(fault)];
  if (count == 0 || !matches(path))
    return false;
  if (count != Unlimited)
    --count;
  return true;
}

bool Faults::applies(Fault fault, std::string_view path) const {
  std::lock_guard lock(Mutex);
  return Counts[indexOf(fault)] != 0 && matches(path);
}

std::chrono::milliseconds Faults::takeDelay(std::string_view path) {
  std::lock_guard lock(Mutex);
  if (DelayCount == 0 || !matches(path))
    return std::chrono::milliseconds(0);
  if (DelayCount != Unlimited)
    --DelayCount;
  return Delay;
}

bool Faults::matches(std::string_view path) const {
  return path.substr(0, PathPrefix.size()) == PathPrefix;
}

} // namespace bergamot::standin
