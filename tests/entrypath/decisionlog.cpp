#include "decisionlog.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <vector>

namespace bergamot::entrypath {

using nlohmann::json;

class DecisionLog::Sink : public google::LogSink {
public:
  Sink() { google::AddLogSink(this); }
  ~Sink() override { google::RemoveLogSink(this); }
  Sink(const Sink &) = delete;
  Sink &operator=(const Sink &) = delete;

  void send(google::LogSeverity /*severity*/, const char * /*fullFilename*/,
            const char * /*baseFilename*/, int /*line*/,
            const google::LogMessageTime & /*time*/, const char *message,
            std::size_t length) override {
    json line = json::parse(std::string_view(message, length), nullptr, false);
    if (line.is_object() && line.contains("decision"))
      Decisions.push_back(std::move(line));
  }

  std::vector<json> Decisions;
};

DecisionLog::DecisionLog() : Lines(std::make_unique<Sink>()) {}

DecisionLog::~DecisionLog() = default;

json DecisionLog::only(const std::string &decision) const {
  json found;
  for (const auto &it : Lines->Decisions) {
    if (it["decision"] != decision)
      continue;
    if (!found.is_null())
      return {};
    found = it;
  }
  return found;
}

} // namespace bergamot::entrypath
