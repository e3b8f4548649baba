#ifndef BERGAMOT_SIDECAR_COPYPROGRESS_H
#define BERGAMOT_SIDECAR_COPYPROGRESS_H

#include "sidecar/rankclient.h"

#include <boost/asio/io_context.hpp>

namespace bergamot::sidecar {

/// Polls the local engine until it has copied the experts of `version`, until
/// it no longer can (it is armed, has copied a higher version, or its group is
/// broken), or until `deadline`. Completes with the engine's last state;
/// std::nullopt if the engine doesn't respond. The engine must outlive the
/// call.
void pollCopyProgress(boost::asio::io_context &loop, RankClient &engine,
                      std::uint64_t version, base::TimePoint deadline,
                      RankClient::StateCompletion done);

} // namespace bergamot::sidecar

#endif
