#include "libbergamotrouting/routingtypes.h"

namespace bergamot::routing {

const char *refusalName(Refusal reason) {
  switch (reason) {
  case Refusal::None:
    return "none";
  case Refusal::Duplicate:
    return "duplicate";
  case Refusal::AttemptTableFull:
    return "records full";
  case Refusal::Draining:
    return "draining";
  case Refusal::DomainRemoved:
    return "failure domain removed";
  case Refusal::NotReady:
    return "not ready";
  case Refusal::DeadlinePassed:
    return "deadline passed";
  case Refusal::TooLarge:
    return "too large";
  case Refusal::NoSlots:
    return "no slots";
  case Refusal::NoUnits:
    return "no units";
  case Refusal::PriorityTooLow:
    return "priority";
  case Refusal::AccountShareExceeded:
    return "account share";
  case Refusal::RateLimit:
    return "rate limit";
  case Refusal::ConcurrencyLimit:
    return "concurrency limit";
  case Refusal::QueueFull:
    return "queue full";
  case Refusal::WaitTooLong:
    return "wait too long";
  case Refusal::NoTarget:
    return "no target";
  }
  return "unknown";
}

} // namespace bergamot::routing
