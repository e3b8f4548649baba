#ifndef BERGAMOT_SUPPORT_WAITING_H
#define BERGAMOT_SUPPORT_WAITING_H

#include "libbergamotbase/timetypes.h"

#include <cstdint>
#include <functional>
#include <string>

namespace bergamot::testsupport {

/// Returns the point in time that lies a span ahead.
base::TimePoint in(std::chrono::milliseconds span);

/// Waits until the condition holds. Returns false if it doesn't by the
/// deadline. The condition is checked every few milliseconds.
bool waitFor(const std::function<bool()> &condition, base::TimePoint deadline);

/// Returns a loopback port on which nothing listens, a different one on each
/// call of a process.
std::uint16_t freePort();

/// Returns "127.0.0.1:<port>".
std::string loopbackEndpoint(std::uint16_t port);

} // namespace bergamot::testsupport

#endif
