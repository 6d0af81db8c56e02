#include "citronlane/gateway/request_claim.h"

#include <chrono>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "citronlane/gateway/gateway_hooks.h"
#include "citronlane/transport/http_exchange.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;

/// How long a response is delayed until the control VMs have stored it.
constexpr std::chrono::seconds kFinishTimeout{2};

/// Reply of the control VMs, passed from the thread of the hook to the thread
/// of the connection.
template <typename Answer>
struct Pending {
  explicit Pending(HttpExchange* exchange) : exchange_(exchange) {}

  bool done_ = false;
  Answer answer_{};
  /// Null once the handler has stopped waiting.
  HttpExchange* exchange_;
};

/// Returns a callback for any thread that stores the reply on the thread of
/// `io` and wakes the handler.
template <typename Answer>
std::function<void(Answer)> Deliver(asio::io_context* io,
                                    std::shared_ptr<Pending<Answer>> pending) {
  return [io, pending = std::move(pending)](Answer answer) {
    asio::post(*io, [pending, answer = std::move(answer)]() mutable {
      pending->done_ = true;
      pending->answer_ = std::move(answer);
      if (pending->exchange_ != nullptr) {
        pending->exchange_->Notify();
      }
    });
  };
}

}  // namespace

RequestClaim::RequestClaim(ClaimQuery query,
                           const GatewayHooks* hooks,
                           asio::io_context* io,
                           HttpExchange* exchange,
                           uint64_t max_stored_bytes)
    : query_(std::move(query)),
      hooks_(hooks),
      io_(io),
      exchange_(exchange),
      max_stored_bytes_(max_stored_bytes) {}

ClaimAnswer RequestClaim::Take() {
  if (!hooks_->claim_) {
    return {};
  }
  auto pending = std::make_shared<Pending<ClaimAnswer>>(exchange_);
  hooks_->claim_(query_, Deliver(io_, pending));
  while (!pending->done_) {
    exchange_->Wait();
  }
  return std::move(pending->answer_);
}

void RequestClaim::Finish(const StoredAnswer& answer) {
  if (!hooks_->finish_claim_) {
    return;
  }
  auto pending = std::make_shared<Pending<bool>>(exchange_);
  hooks_->finish_claim_(query_, answer, Deliver(io_, pending));
  bool late = false;
  asio::steady_timer timer(*io_, kFinishTimeout);
  timer.async_wait([&late, pending](const boost::system::error_code& error) {
    if (!error && pending->exchange_ != nullptr) {
      late = true;
      pending->exchange_->Notify();
    }
  });
  while (!pending->done_ && !late) {
    exchange_->Wait();
  }
  pending->exchange_ = nullptr;
}

void RequestClaim::Release() {
  if (hooks_->release_claim_) {
    hooks_->release_claim_(query_, [](bool) {});
  }
}

}  // namespace citronlane
