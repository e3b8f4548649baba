#ifndef BERGAMOT_TESTS_ENTRYPATH_DECISIONLOG_H
#define BERGAMOT_TESTS_ENTRYPATH_DECISIONLOG_H

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>

namespace bergamot::entrypath {

/// Collects the decisions that the process logs while the object exists.
class DecisionLog {
public:
  DecisionLog();
  ~DecisionLog();

  /// Returns the fields of a decision; null unless it was logged exactly once.
  nlohmann::json only(const std::string &decision) const;

private:
  // glog's macros clash with Catch2's, so its header stays out of this one.
  class Sink;
  std::unique_ptr<Sink> Lines;
};

} // namespace bergamot::entrypath

#endif
