#include <algorithm>
#include <vector>

#include "citronlane/base/steady_now.h"
#include "citronlane/relay/relay_job.h"
#include "citronlane/relay/stage_runner.h"

namespace citronlane {
namespace {

/// Time from the call to the first event of a server that is not overloaded.
constexpr Duration kFirstEventTime = std::chrono::milliseconds(250);
/// Results count as expired this much before their producers expire them: the
/// call ended before its reply arrived here, and the next server must fetch
/// them.
constexpr Duration kExpiryMargin = std::chrono::milliseconds(100);

}  // namespace

StageForecast StageRunner::ForecastOf(size_t index) const {
  const Duration rest = TimeAfter(index);
  StageForecast forecast;
  forecast.pieces_ = stages_[index].pieces_;
  forecast.target_ = (is_late_ ? job_->arrived_ : job_->target_) - rest;
  forecast.deadline_ = job_->begin_deadline_ - rest;
  forecast.priority_ = job_->priority_;
  forecast.failure_domain_ = failure_domain_;
  return forecast;
}

// Minimum time that the request still needs after this stage. If a stage used
// the request's own target, it would serve first the requests that are already
// too late to meet it.
Duration StageRunner::TimeAfter(size_t index) const {
  Duration longest = kFirstEventTime;
  for (size_t i = index + 1; i < stages_.size(); ++i) {
    const auto& after = job_->route_->stages_[i].after_;
    if (stages_[i].pieces_ > 0 &&
        std::find(after.begin(), after.end(), index) != after.end()) {
      longest = std::max(longest, CallTime(i) + TimeAfter(i));
    }
  }
  return longest;
}

// As its pool reported, or as declared.
Duration StageRunner::CallTime(size_t index) const {
  if (stages_[index].wait_) {
    return stages_[index].wait_->call_;
  }
  const RouteStage& declared = job_->route_->stages_[index];
  const Service* service = job_->config_->FindService(declared.service_);
  if (service == nullptr || !service->stage_pool_) {
    return Duration();
  }
  return service->stage_pool_->call_time_ +
         service->stage_pool_->piece_time_ * stages_[index].pieces_;
}

// When the producer of a stage's results expires them.
TimePoint StageRunner::ExpiryOf(size_t index) const {
  const Service* service =
      job_->config_->FindService(job_->route_->stages_[index].service_);
  return stages_[index].handles_.empty() || service == nullptr ||
                 !service->stage_pool_
             ? TimePoint::max()
             : stages_[index].done_at_ +
                   service->stage_pool_->result_lifetime_ - kExpiryMargin;
}

bool StageRunner::HasTimeToRerun() const {
  Duration calls{};
  for (size_t i = 0; i < stages_.size(); ++i) {
    if (stages_[i].pieces_ > 0) {
      calls = std::max(calls, CallTime(i) + TimeAfter(i));
    }
  }
  return SteadyNow() + calls <= job_->begin_deadline_;
}

// Queues at a pool shrink while the stages before it run.
Duration StageRunner::ExpectedTime(bool behind_all) const {
  std::vector<Duration> finish(stages_.size());
  Duration last{};
  for (size_t i = 0; i < stages_.size(); ++i) {
    for (const uint32_t before : job_->route_->stages_[i].after_) {
      finish[i] = std::max(finish[i], finish[before]);
    }
    if (stages_[i].pieces_ > 0) {
      const StageWait wait = stages_[i].wait_.value_or(StageWait());
      finish[i] = std::max(finish[i], behind_all ? wait.all_ : wait.on_time_) +
                  CallTime(i) + wait.owner_lag_;
    }
    last = std::max(last, finish[i]);
  }
  return last + kFirstEventTime;
}

}  // namespace citronlane
