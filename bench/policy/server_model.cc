#include "policy/server_model.h"

#include <algorithm>
#include <utility>

namespace citronlane {
namespace {

/// Slow-down factor of a restarted server until it is warm.
constexpr double kColdFactor = 3;
constexpr Duration kWarmUp = std::chrono::seconds(4);

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

ServerModel::ServerModel(const PoolModel& pool,
                         std::string id,
                         int domain,
                         EventQueue* queue,
                         CacheHook on_cache)
    : pool_(pool),
      id_(std::move(id)),
      domain_(domain),
      queue_(queue),
      on_cache_(std::move(on_cache)) {}

void ServerModel::Submit(const CallPtr& call) {
  if (!up_) {
    if (!silent_) {
      End(call, CallOutcome::kConnectFailed);
    }
    return;
  }
  if (draining_ || errors_) {
    End(call, draining_ ? CallOutcome::kRejected : CallOutcome::kServerError);
    return;
  }
  queues_[call->priority_].push_back(call);
  StartNext();
}

void ServerModel::Cancel(const CallPtr& call) {
  if (call->state_ == BackendCall::State::kOver) {
    return;
  }
  auto drop = [&call](auto* calls) {
    calls->erase(std::remove(calls->begin(), calls->end(), call), calls->end());
  };
  drop(&running_);
  for (auto& waiting : queues_) {
    drop(&waiting);
  }
  call->state_ = BackendCall::State::kOver;
  StartNext();
}

size_t ServerModel::waiting() const {
  size_t sum = 0;
  for (const auto& calls : queues_) {
    sum += calls.size();
  }
  return sum;
}

void ServerModel::StartNext() {
  while (!stopped_ && up_ &&
         running_.size() < static_cast<size_t>(pool_.slots_) && waiting() > 0) {
    auto* from = std::find_if(queues_.begin(), queues_.end(),
                              [](const auto& calls) { return !calls.empty(); });
    const CallPtr call = from->front();
    from->pop_front();
    Start(call);
  }
}

bool ServerModel::LookUpPrefix(uint64_t prefix) {
  if (prefix == 0 || pool_.cached_prefixes_ == 0) {
    return false;
  }
  const auto found = std::find(cached_.begin(), cached_.end(), prefix);
  if (found != cached_.end()) {
    cached_.splice(cached_.begin(), cached_, found);
    return true;
  }
  cached_.push_front(prefix);
  on_cache_(++cache_sequence_, prefix, true);
  if (cached_.size() > static_cast<size_t>(pool_.cached_prefixes_)) {
    on_cache_(++cache_sequence_, cached_.back(), false);
    cached_.pop_back();
  }
  return false;
}

Duration ServerModel::ReadingTime(const BackendCall& call) {
  const bool hit = LookUpPrefix(call.prefix_);
  return Scaled(pool_.call_time_, call.work_ * (hit ? pool_.hit_part_ : 1));
}

void ServerModel::Start(const CallPtr& call) {
  running_.push_back(call);
  const double cold = queue_->now() < warm_at_ ? kColdFactor : 1;
  const double others = static_cast<double>(running_.size()) - 1;
  const Duration token =
      Scaled(pool_.token_time_,
             slow_ * cold * (1 + pool_.token_time_growth_ * others));
  call->state_ = BackendCall::State::kRunning;
  call->began_ = queue_->now();
  call->reading_ = Scaled(ReadingTime(*call), slow_ * cold);
  call->duration_ = call->reading_ + token * call->tokens_;
  const auto running = [this, call, life = incarnation_] {
    return call->state_ == BackendCall::State::kRunning && !stopped_ &&
           life == incarnation_;
  };
  if (call->tokens_ > 0) {
    queue_->After(call->reading_, [call, running] {
      if (running()) {
        call->on_first_byte_();
      }
    });
  }
  queue_->After(call->duration_, [this, call, running] {
    if (running()) {
      running_.erase(std::find(running_.begin(), running_.end(), call));
      End(call, CallOutcome::kSuccess);
      StartNext();
    }
  });
}

void ServerModel::End(const CallPtr& call, CallOutcome outcome) {
  call->state_ = BackendCall::State::kOver;
  call->on_done_(outcome);
}

void ServerModel::PublishLoad() {
  published_load_ = load();
  published_at_ = queue_->now();
}

void ServerModel::Stop() {
  stopped_ = true;
  for (const CallPtr& call : running_) {
    call->on_frozen_();
  }
}

void ServerModel::Crash(bool silent) {
  up_ = false;
  silent_ = silent;
  std::vector<CallPtr> calls(std::move(running_));
  running_.clear();
  for (auto& waiting : queues_) {
    calls.insert(calls.end(), waiting.begin(), waiting.end());
    waiting.clear();
  }
  for (const CallPtr& call : calls) {
    if (silent) {
      call->on_frozen_();
      call->state_ = BackendCall::State::kOver;
    } else {
      End(call, CallOutcome::kClosedAfterSend);
    }
  }
}

void ServerModel::Restart() {
  Crash(false);
  ++incarnation_;
  up_ = true;
  silent_ = false;
  stopped_ = false;
  draining_ = false;
  errors_ = false;
  slow_ = 1;
  cached_.clear();
  cache_sequence_ = 0;
  warm_at_ = queue_->now() + kWarmUp;
}

}  // namespace citronlane
