#include "sidecar/orderretry.h"

#include <boost/asio/steady_timer.hpp>

namespace bergamot::sidecar {

using base::TimePoint;
using experts::OrderResult;
using Clock = std::chrono::steady_clock;

namespace {

/// Time without a response after which an order is sent again: several times
/// the usual response time of an engine.
constexpr std::chrono::milliseconds RetryInterval{40};
/// Each attempt occupies a connection until the deadline.
constexpr unsigned MaxAttempts = 5;

/// An order in progress; kept alive by its calls.
class RetriedOrder : public std::enable_shared_from_this<RetriedOrder> {
public:
  RetriedOrder(boost::asio::io_context &loop,
               std::shared_ptr<RankClient> engine, experts::RankOrder order,
               TimePoint deadline, RankClient::OrderCompletion done)
      : Engine(std::move(engine)), Order(std::move(order)), Deadline(deadline),
        OnDone(std::move(done)), Timer(loop) {}

  void send() {
    ++Attempts;
    ++PendingAttempts;
    Engine->sendOrder(Order, Deadline,
                      [self = shared_from_this()](OrderResult result) {
                        self->onResult(result);
                      });
    if (Attempts < MaxAttempts && Clock::now() + RetryInterval < Deadline)
      scheduleRetry();
  }

private:
  void scheduleRetry() {
    Timer.expires_after(RetryInterval);
    Timer.async_wait(
        [weak = weak_from_this()](const boost::system::error_code &ec) {
          const auto self = weak.lock();
          if (!ec && self && self->OnDone)
            self->send();
        });
  }

  void onResult(OrderResult result) {
    --PendingAttempts;
    if (!OnDone)
      return;
    if (result == OrderResult::Conflict && Attempts > 1)
      result = OrderResult::Unknown;
    else if (result == OrderResult::Unknown && PendingAttempts > 0)
      return; // Another attempt may still get a response.
    Timer.cancel();
    std::exchange(OnDone, nullptr)(result);
  }

  std::shared_ptr<RankClient> Engine;
  experts::RankOrder Order;
  TimePoint Deadline;
  RankClient::OrderCompletion OnDone;
  boost::asio::steady_timer Timer;
  unsigned Attempts = 0;
  unsigned PendingAttempts = 0;
};

} // namespace

void sendWithRetries(boost::asio::io_context &loop,
                     std::shared_ptr<RankClient> engine,
                     const experts::RankOrder &order, TimePoint deadline,
                     RankClient::OrderCompletion done) {
  std::make_shared<RetriedOrder>(loop, std::move(engine), order, deadline,
                                 std::move(done))
      ->send();
}

} // namespace bergamot::sidecar
