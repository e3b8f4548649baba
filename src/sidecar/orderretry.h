#ifndef BERGAMOT_SIDECAR_ORDERRETRY_H
#define BERGAMOT_SIDECAR_ORDERRETRY_H

#include "sidecar/rankclient.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace bergamot::sidecar {

/// Sends an order to an engine, and sends it again several times until the
/// deadline while the engine doesn't respond. Engines leave some orders
/// unanswered and execute them seconds later. Without these retries, each phase
/// of a change takes six rounds in a group of 32 ranks before every rank has
/// responded, and each round from the coordinator takes its full time limit.
///
/// A rank may refuse an order that it has already executed
/// (OrderResult::Conflict). A refusal after a retry therefore proves nothing,
/// and the result is OrderResult::Unknown, as without a response.
void sendWithRetries(boost::asio::io_context &loop,
                     std::shared_ptr<RankClient> engine,
                     const experts::RankOrder &order, base::TimePoint deadline,
                     RankClient::OrderCompletion done);

} // namespace bergamot::sidecar

#endif
