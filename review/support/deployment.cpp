#include "deployment.h"

#include "client.h"

#include <nlohmann/json.hpp>

namespace bergamot::review {

using nlohmann::json;

void configure(Store &store, const std::vector<RouteOptions> &routes) {
  json config = {{"version", 7},
                 {"routes", json::array()},
                 {"services", json::array()},
                 {"limits",
                  {{"max-header-bytes", 16384},
                   {"max-body-bytes", 4194304},
                   {"header-timeout-ms", 3000},
                   {"idle-timeout-ms", 15000}}},
                 {"tenants", {{{"name", "tenant"}, {"api-keys", {ApiKey}}}}}};
  for (const auto &it : routes) {
    json route = {{"name", "r-" + it.Service},
                  {"host", Host},
                  {"path-prefix", it.pathPrefix()},
                  {"kind", it.Kind},
                  {"timeout-ms", it.TimeoutMs},
                  {"target-latency-ms", it.LatencyObjectiveMs},
                  {"priority", 1},
                  {"service", it.Service},
                  {"max-attempts", 2},
                  {"public", false}};
    if (it.Resumable)
      route["resumable"] = true;
    if (it.EventGapMs > 0)
      route["target-gap-ms"] = it.EventGapMs;
    config["routes"].push_back(std::move(route));
    config["services"].push_back({{"name", it.Service},
                                  {"health-path", "/health"},
                                  {"connection-limit", 110},
                                  {"protocol", "h1"},
                                  {"tls", false},
                                  {"cold-start-s", 0.0},
                                  {"cold-per-s", 0.0}});
    if (!it.Engine.empty())
      config["services"].back()["engine"] = it.Engine;
  }
  store.put("keyed.op", "config", config.dump());
}

} // namespace bergamot::review
