#include <cstddef>
#include <iterator>
#include <set>
#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/relay/detail/stage_runner_events.h"
#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/relay_job.h"
#include "citronlane/relay/stage_owners.h"
#include "citronlane/relay/stage_runner.h"
#include "citronlane/relay/waker.h"

namespace citronlane {
namespace {

/// The owners of the pools reply within a few milliseconds; without a reply the
/// request continues as if nothing waited.
constexpr Duration kPoolReplyTimeout = std::chrono::milliseconds(60);

}  // namespace

bool StageRunner::IsDivided() const {
  for (size_t i = 0; i < stages_.size(); ++i) {
    if (stages_[i].pieces_ > 0 &&
        view_->IsDivided(job_->route_->stages_[i].service_)) {
      return true;
    }
  }
  return false;
}

std::string StageRunner::OtherDomain(uint64_t random) const {
  std::set<std::string> domains;
  for (size_t i = 0; i < stages_.size(); ++i) {
    if (stages_[i].pieces_ == 0) {
      continue;
    }
    for (const PoolPartition& partition :
         view_->PartitionsOf(job_->route_->stages_[i].service_)) {
      if (partition.IsDomainPartition() &&
          partition.failure_domain_ != failure_domain_) {
        domains.insert(partition.failure_domain_);
      }
    }
  }
  return domains.empty()
             ? std::string()
             : *std::next(domains.begin(),
                          static_cast<std::ptrdiff_t>(random % domains.size()));
}

void StageRunner::Announce(std::string failure_domain) {
  failure_domain_ = std::move(failure_domain);
  AnnounceAll();
}

std::string StageRunner::CompareWith(std::string failure_domain) {
  const Duration here = ExpectedTime(false);
  const std::vector<Stage> announced_here = stages_;
  const std::string domain_here =
      std::exchange(failure_domain_, std::move(failure_domain));
  AnnounceAll();
  std::vector<Stage> dropped = announced_here;
  if (ExpectedTime(false) >= here) {
    dropped = std::exchange(stages_, announced_here);
    failure_domain_ = domain_here;
  }
  for (const Stage& stage : dropped) {
    if (stage.job_) {
      owners_->Cancel(*stage.job_);
    }
  }
  return failure_domain_;
}

void StageRunner::AnnounceAll() {
  ++events_->announcement_;
  events_->waits_.clear();
  size_t asked = 0;
  for (size_t i = 0; i < stages_.size(); ++i) {
    if (stages_[i].pieces_ > 0) {
      Announce(i);
      ++asked;
    }
  }
  waker_->WaitUntil([this, asked] { return events_->waits_.size() >= asked; },
                    SteadyNow() + kPoolReplyTimeout);
  for (const auto& [index, wait] : events_->waits_) {
    stages_[index].wait_ = wait;
  }
}

void StageRunner::Announce(size_t index) {
  const std::weak_ptr<Events> weak = events_;
  const auto waker = waker_;
  const uint32_t announcement = events_->announcement_;
  stages_[index].job_ = owners_->Announce(
      job_->route_->stages_[index].service_, ForecastOf(index),
      [weak, waker, index, announcement](const StageWait& wait) {
        const auto events = weak.lock();
        if (events && events->announcement_ == announcement) {
          events->waits_.emplace_back(index, wait);
          waker->Wake();
        }
      });
}

void StageRunner::SetLate() {
  is_late_ = true;
  for (size_t i = 0; i < stages_.size(); ++i) {
    if (stages_[i].job_ && !stages_[i].is_submitted_) {
      owners_->Revise(*stages_[i].job_, ForecastOf(i));
    }
  }
}

}  // namespace citronlane
