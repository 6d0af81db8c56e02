#include "citronlane/relay/waker.h"

#include "citronlane/base/steady_now.h"
#include "citronlane/transport/http_exchange.h"

namespace citronlane {

Waker::Waker(boost::asio::io_context* io, HttpExchange* exchange)
    : exchange_(exchange), timer_(*io) {}

void Waker::Wake() {
  if (exchange_ != nullptr) {
    exchange_->Notify();
  }
}

void Waker::Expire() {
  is_expired_ = true;
  Wake();
}

void Waker::Detach() {
  exchange_ = nullptr;
  timer_.cancel();
}

bool Waker::WaitUntil(const std::function<bool()>& ready, TimePoint until) {
  if (ready()) {
    return true;
  }
  timer_.expires_at(until);
  timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error) {
          self->Wake();
        }
      });
  while (!ready() && !is_expired_ && !exchange_->caller_gone() &&
         SteadyNow() < until) {
    exchange_->Wait();
  }
  timer_.cancel();
  return ready();
}

bool Waker::caller_gone() const {
  return exchange_ == nullptr || exchange_->caller_gone();
}

}  // namespace citronlane
