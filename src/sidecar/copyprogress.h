#ifndef BERGAMOT_SIDECAR_COPYPROGRESS_H
#define BERGAMOT_SIDECAR_COPYPROGRESS_H

#include "sidecar/rankclient.h"

#include <boost/asio/io_context.hpp>

namespace bergamot::sidecar {

/// Looks at the own engine until it has copied the experts of a version, until
/// it can't get there any more (it is armed, has copied a higher version, or
/// its group is broken), or until `answerBy`. Completes with the engine's last
/// state; unset if it doesn't answer. The engine must outlive the call.
void watchCopies(boost::asio::io_context &loop, RankPort &engine,
                 std::uint64_t version, base::TimePoint answerBy,
                 RankPort::StateCompletion done);

} // namespace bergamot::sidecar

#endif
