#ifndef BERGAMOT_SIDECAR_COPYPROGRESS_H
#define BERGAMOT_SIDECAR_COPYPROGRESS_H

#include "sidecar/rankclient.h"

#include <boost/asio/io_context.hpp>

namespace bergamot::sidecar {

/// Polls the state of the local engine until the engine has copied the experts
/// of `version` or a higher version, until it can't complete the copy (it is
/// armed or its group isn't open, see experts::RankState), or until `deadline`.
/// Completes with the last state; std::nullopt if the engine doesn't respond.
/// The engine must outlive the call.
void pollCopyProgress(boost::asio::io_context &loop, RankClient &engine,
                      std::uint64_t version, base::TimePoint deadline,
                      RankClient::StateCompletion done);

} // namespace bergamot::sidecar

#endif
