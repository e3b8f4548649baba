#ifndef BERGAMOT_LIBBERGAMOTBASE_REQUESTIDEMPOTENCY_H
#define BERGAMOT_LIBBERGAMOTBASE_REQUESTIDEMPOTENCY_H

namespace bergamot::base {

/// Whether a request may be executed more than once.
enum class RequestIdempotency { Idempotent, NonIdempotent };

} // namespace bergamot::base

#endif
