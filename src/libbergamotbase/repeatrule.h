#ifndef BERGAMOT_LIBBERGAMOTBASE_REPEATRULE_H
#define BERGAMOT_LIBBERGAMOTBASE_REPEATRULE_H

namespace bergamot::base {

/// Whether a request may be carried out more than once.
enum class RepeatRule { Idempotent, NonIdempotent };

} // namespace bergamot::base

#endif
