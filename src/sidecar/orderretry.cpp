#include "sidecar/orderretry.h"

#include <boost/asio/steady_timer.hpp>

namespace bergamot::sidecar {

using base::TimePoint;
using experts::OrderResult;
using Clock = std::chrono::steady_clock;

namespace {

/// Silence after which an order is sent again: several times what an engine
/// that answers takes.
constexpr std::chrono::milliseconds RepeatAfter{40};
/// Each sending of an order takes a connection of its own until its deadline.
constexpr unsigned MostSendings = 5;

/// An order in progress; it lives as long as its timer or a call refers to it.
class Sending : public std::enable_shared_from_this<Sending> {
public:
  Sending(boost::asio::io_context &loop, std::shared_ptr<RankPort> engine,
          experts::RankOrder order, TimePoint deadline,
          RankPort::OrderCompletion done)
      : Engine(std::move(engine)), Order(std::move(order)), Deadline(deadline),
        OnDone(std::move(done)), Timer(loop) {}

  void send() {
    ++Sendings;
    ++Unanswered;
    Engine->sendOrder(Order, Deadline,
                      [self = shared_from_this()](OrderResult result) {
                        self->onResult(result);
                      });
    if (Sendings < MostSendings && Clock::now() + RepeatAfter < Deadline)
      repeatLater();
  }

private:
  void repeatLater() {
    Timer.expires_after(RepeatAfter);
    Timer.async_wait(
        [weak = weak_from_this()](const boost::system::error_code &ec) {
          const auto self = weak.lock();
          if (!ec && self && self->OnDone)
            self->send();
        });
  }

  void onResult(OrderResult result) {
    --Unanswered;
    if (!OnDone)
      return;
    if (result == OrderResult::Conflict && Sendings > 1)
      result = OrderResult::Unknown;
    else if (result == OrderResult::Unknown && Unanswered > 0)
      return; // Another sending may still be answered.
    Timer.cancel();
    std::exchange(OnDone, nullptr)(result);
  }

  std::shared_ptr<RankPort> Engine;
  experts::RankOrder Order;
  TimePoint Deadline;
  RankPort::OrderCompletion OnDone;
  boost::asio::steady_timer Timer;
  unsigned Sendings = 0;
  unsigned Unanswered = 0;
};

} // namespace

void sendRepeatedly(boost::asio::io_context &loop,
                    std::shared_ptr<RankPort> engine,
                    const experts::RankOrder &order, TimePoint deadline,
                    RankPort::OrderCompletion done) {
  std::make_shared<Sending>(loop, std::move(engine), order, deadline,
                            std::move(done))
      ->send();
}

} // namespace bergamot::sidecar
