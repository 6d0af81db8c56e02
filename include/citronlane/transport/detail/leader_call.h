#ifndef CITRONLANE_TRANSPORT_DETAIL_LEADER_CALL_H_
#define CITRONLANE_TRANSPORT_DETAIL_LEADER_CALL_H_

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/transport/detail/control_link.h"

namespace citronlane {

/// One call to the leader, with retries until it gets a final reply or the
/// deadline passes. Each attempt sends the same request, which must be
/// idempotent.
template <typename Request, typename Reply>
class LeaderCall
    : public std::enable_shared_from_this<LeaderCall<Request, Reply>> {
 public:
  using Stub = ControlChannels::Stub;
  using Status = std::function<void(grpc::Status)>;
  using Method = std::function<
      void(Stub*, grpc::ClientContext*, const Request*, Reply*, Status)>;
  /// Whether the reply ends the call; otherwise it is retried.
  using IsFinal = std::function<bool(const Reply&)>;
  /// Receives the final reply, or nothing if there was none in time.
  using Done = std::function<void(const std::optional<Reply>&)>;

  LeaderCall(ControlLink* link,
             Request request,
             Method method,
             IsFinal is_final,
             TimePoint deadline,
             Done done)
      : link_(link),
        request_(std::move(request)),
        method_(std::move(method)),
        is_final_(std::move(is_final)),
        deadline_(deadline),
        done_(std::move(done)) {}

  /// Sends the next attempt; callers call it once. `done` is called once, from
  /// any thread, possibly before Try returns.
  void Try() {
    auto attempt = std::make_shared<Attempt>();
    if (!link_->calls_.Begin(&attempt->context_)) {
      done_(std::nullopt);
      return;
    }
    attempt->address_ = link_->channels_.Leader();
    attempt->stub_ = link_->channels_.Get(attempt->address_);
    attempt->context_.set_deadline(
        std::chrono::system_clock::now() +
        std::min(link_->options_.try_timeout_,
                 std::max(deadline_ - SteadyNow(), kMinTry)));
    method_(
        attempt->stub_.get(), &attempt->context_, &request_, &attempt->reply_,
        [self = this->shared_from_this(), attempt](const grpc::Status& status) {
          self->OnStatus(*attempt, status);
          self->link_->calls_.End(&attempt->context_);
        });
  }

 private:
  static constexpr Duration kMinTry = std::chrono::milliseconds(10);
  /// Delay before an attempt at the address that another node reported as
  /// leader.
  static constexpr Duration kRedirectDelay = std::chrono::milliseconds(2);

  struct Attempt {
    grpc::ClientContext context_;
    std::string address_;
    std::shared_ptr<Stub> stub_;
    Reply reply_;
  };

  void OnStatus(const Attempt& attempt, const grpc::Status& status) {
    if (status.ok() && is_final_(attempt.reply_)) {
      done_(attempt.reply_);
      return;
    }
    const std::string leader =
        status.ok() ? attempt.reply_.leader() : std::string();
    link_->channels_.OnNotLeader(attempt.address_, leader);
    const bool redirected = !leader.empty() && leader != attempt.address_;
    const Duration delay =
        redirected ? kRedirectDelay : link_->options_.retry_delay_;
    if (link_->calls_.is_stopping() || SteadyNow() + delay >= deadline_) {
      done_(std::nullopt);
      return;
    }
    link_->timers_.After(delay,
                         [self = this->shared_from_this()] { self->Try(); });
  }

  ControlLink* const link_;
  const Request request_;
  const Method method_;
  const IsFinal is_final_;
  const TimePoint deadline_;
  const Done done_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_DETAIL_LEADER_CALL_H_
