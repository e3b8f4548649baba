#ifndef BERGAMOT_REVIEW_DEPLOYMENT_H
#define BERGAMOT_REVIEW_DEPLOYMENT_H

#include "store.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <string>
#include <vector>

namespace bergamot::review {

/// Exit statuses of a case.
enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

/// Ends the process at once: threads of stand-ins may still run.
[[noreturn]] inline void end(Verdict verdict) {
  std::_Exit(static_cast<int>(verdict));
}

/// Returns whether the case runs with its disruption.
inline bool hasTrouble() {
  const char *value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

/// A route of the configuration, with a service of the same name.
struct RouteOptions {
  std::string Service;
  /// `safe`, `unsafe` or `streaming`.
  std::string Kind = "unsafe";
  int TimeoutMs = 4000;
  int LatencyObjectiveMs = 300;
  /// 0 for routes that aren't streaming.
  int EventGapMs = 0;
  bool Resumable = false;
  /// The engine's profile in the configuration; empty for plain services.
  nlohmann::json Engine;

  std::string pathPrefix() const { return "/" + Service + "/"; }
};

/// Writes a configuration with these routes and one tenant to the store.
void configure(Store &store, const std::vector<RouteOptions> &routes);

} // namespace bergamot::review

#endif
