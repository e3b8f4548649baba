#include "sidecar/copyprogress.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace bergamot::sidecar {

using Clock = std::chrono::steady_clock;

namespace {

/// Time between two reads of the state, a small fraction of the time of a copy.
constexpr std::chrono::milliseconds PollPeriod{25};
constexpr std::chrono::milliseconds EngineTimeout{200};

} // namespace

void pollCopyProgress(boost::asio::io_context &loop, RankClient &engine,
                      std::uint64_t version, base::TimePoint deadline,
                      RankClient::StateCompletion done) {
  engine.fetchState(
      Clock::now() + EngineTimeout,
      [&loop, &engine, version, deadline, done = std::move(done)](
          const std::optional<experts::RankState> &state) mutable {
        const bool keepPolling = state && state->GroupOpen && !state->Armed &&
                                 state->PreparedVersion < version &&
                                 Clock::now() + PollPeriod < deadline;
        if (!keepPolling) {
          done(state);
          return;
        }
        const auto timer =
            std::make_shared<boost::asio::steady_timer>(loop, PollPeriod);
        timer->async_wait([timer, &loop, &engine, version, deadline,
                           done = std::move(done)](
                              const boost::system::error_code &) mutable {
          pollCopyProgress(loop, engine, version, deadline, std::move(done));
        });
      });
}

} // namespace bergamot::sidecar
