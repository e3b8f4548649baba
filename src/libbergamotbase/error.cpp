#include "libbergamotbase/error.h"

#include <utility>

namespace bergamot::base {

const char *stepName(Step step) {
  switch (step) {
  case Step::Settings:
    return "settings";
  case Step::Configuration:
    return "configuration";
  case Step::Parse:
    return "parse";
  case Step::Authenticate:
    return "authenticate";
  case Step::Admit:
    return "admit";
  case Step::Route:
    return "route";
  case Step::Connect:
    return "connect";
  case Step::Dispatch:
    return "dispatch";
  case Step::Answer:
    return "answer";
  case Step::Claim:
    return "claim";
  case Step::Log:
    return "log";
  case Step::Membership:
    return "membership";
  case Step::Experts:
    return "experts";
  case Step::Audit:
    return "audit";
  }
  return "unknown";
}

Error::Error(Step step, std::string peer, const std::string &message)
    : std::runtime_error(message), ErrorStep(step), ErrorPeer(std::move(peer)) {
}

} // namespace bergamot::base
