#ifndef BERGAMOT_BENCH_BENCHOUTPUT_H
#define BERGAMOT_BENCH_BENCHOUTPUT_H

#include <nlohmann/json.hpp>

#include <iostream>
#include <optional>
#include <string>

namespace bergamot::bench {

/// Prints one result as a JSON object on a line of its own. bound and naive
/// are null where there is none.
inline void printResult(const std::string &name, double value,
                        const std::string &unit, std::optional<double> bound,
                        std::optional<double> naive) {
  nlohmann::ordered_json line;
  line["name"] = name;
  line["value"] = value;
  line["unit"] = unit;
  line["bound"] = bound ? nlohmann::ordered_json(*bound) : nullptr;
  line["naive"] = naive ? nlohmann::ordered_json(*naive) : nullptr;
  std::cout << line.dump() << '\n';
}

} // namespace bergamot::bench

#endif
