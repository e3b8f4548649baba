#ifndef BERGAMOT_SIDECAR_ORDERRETRY_H
#define BERGAMOT_SIDECAR_ORDERRETRY_H

#include "sidecar/rankclient.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace bergamot::sidecar {

/// Sends an order to an engine and, while the engine stays silent, sends it
/// again some times until the deadline. Load pattern: engines leave a part of
/// their orders unanswered and carry them out seconds later; a group of 32
/// ranks then needs six rounds of a change's phase until each rank has
/// answered, and rounds from the coordinator take its whole time limit each.
///
/// A rank takes an order that it has carried out before as done, or refuses it.
/// A refusal of a repeated order therefore proves nothing, and the result is
/// unknown, as without an answer.
void sendRepeatedly(boost::asio::io_context &loop,
                    std::shared_ptr<RankPort> engine,
                    const experts::RankOrder &order, base::TimePoint deadline,
                    RankPort::OrderCompletion done);

} // namespace bergamot::sidecar

#endif
