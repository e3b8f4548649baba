#ifndef BERGAMOT_BERGAMOTD_RESPOND_H
#define BERGAMOT_BERGAMOTD_RESPOND_H

#include "adapterhttp/httpresponder.h"
#include "bergamotd/problem.h"

#include <chrono>

namespace bergamot::bergamotd {

/// Time to send a short response to a caller.
inline constexpr std::chrono::seconds ShortResponseTimeout{10};

/// Sends a problem document, unless an answer was started already.
void respondWithProblem(adapterhttp::HttpResponder &responder,
                        const ProblemError &problem);

} // namespace bergamot::bergamotd

#endif
