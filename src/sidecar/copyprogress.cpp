#include "sidecar/copyprogress.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace bergamot::sidecar {

using Clock = std::chrono::steady_clock;

namespace {

/// Time between two looks, a small part of what a copy takes.
constexpr std::chrono::milliseconds LookPeriod{25};
constexpr std::chrono::milliseconds EngineTimeout{200};

} // namespace

void watchCopies(boost::asio::io_context &loop, RankPort &engine,
                 std::uint64_t version, base::TimePoint answerBy,
                 RankPort::StateCompletion done) {
  engine.fetchState(
      Clock::now() + EngineTimeout,
      [&loop, &engine, version, answerBy, done = std::move(done)](
          const std::optional<experts::RankState> &state) mutable {
        const bool waits = state && state->GroupOpen && !state->Armed &&
                           state->PreparedVersion < version &&
                           Clock::now() + LookPeriod < answerBy;
        if (!waits) {
          done(state);
          return;
        }
        const auto timer =
            std::make_shared<boost::asio::steady_timer>(loop, LookPeriod);
        timer->async_wait(
            [timer, &loop, &engine, version, answerBy, done = std::move(done)](
                const boost::system::error_code &) mutable {
              watchCopies(loop, engine, version, answerBy, std::move(done));
            });
      });
}

} // namespace bergamot::sidecar
