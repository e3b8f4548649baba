#include "bergamotd/refusalmessage.h"

#include "libbergamotbase/error.h"

#include <chrono>
#include <utility>

namespace bergamot::bergamotd {

namespace fb = wire::fb;

namespace {

fb::RefusalReason toWire(routing::Refusal reason) {
  switch (reason) {
  case routing::Refusal::Draining:
    return fb::RefusalReason::Draining;
  case routing::Refusal::DomainRemoved:
    return fb::RefusalReason::DomainRemoved;
  case routing::Refusal::Duplicate:
    return fb::RefusalReason::Duplicate;
  case routing::Refusal::DeadlinePassed:
    return fb::RefusalReason::DeadlineTooShort;
  case routing::Refusal::NotReady:
    return fb::RefusalReason::BackEndDown;
  default:
    return fb::RefusalReason::Overloaded;
  }
}

} // namespace

wire::Envelope refusalMessage(const routing::AdmissionVerdict &verdict) {
  const char *name = routing::refusalName(verdict.Reason);
  if (verdict.WasExecuted != routing::Executed::No) {
    fb::FailedT failed;
    failed.executed = fb::Executed::Unknown;
    failed.step = base::stepName(base::Step::Admit);
    failed.detail = name;
    return wire::makeEnvelope(std::move(failed));
  }
  fb::RefusedT refused;
  refused.reason = toWire(verdict.Reason);
  refused.retry_after_ms = static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(verdict.RetryAfter).count());
  refused.detail = name;
  return wire::makeEnvelope(std::move(refused));
}

} // namespace bergamot::bergamotd
