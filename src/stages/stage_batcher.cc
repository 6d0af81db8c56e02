#include "citronlane/stages/stage_batcher.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace citronlane {
namespace {

/// Fraction of a server's capacity for results that is planned with. Results
/// may be larger than declared, and a server that is out of capacity drops a
/// piece only after its call has started.
constexpr double kUsableCapacityRatio = 0.92;
/// Estimate while no server takes calls: the longest time of a call.
constexpr Duration kUnknownWait = std::chrono::seconds(5);
/// Each step of priority orders a task as if its target were this much later.
constexpr Duration kPriorityPenalty = std::chrono::milliseconds(800);
/// A task of average size is ordered as if its target were this much later: a
/// saturated pool serves more requests when small ones come first.
constexpr Duration kSizePenalty = std::chrono::milliseconds(400);
/// Bound of a task's size relative to the average, so that large tasks are not
/// deferred without limit.
constexpr double kMaxRelativeSize = 3;
/// Weight of the newest task in the average size, which then covers some
/// hundred tasks.
constexpr double kTaskSizeWeight = 0.01;
/// Tasks do not wait for a server that is overdue by more than this.
constexpr Duration kMaxOverdue = std::chrono::milliseconds(100);
/// Achieved throughput relative to that of full calls.
constexpr double kAchievedThroughputRatio = 0.8;
/// A task that will miss its target is ordered as if it were this much later,
/// behind the tasks that can still meet theirs: served first, it would make
/// them late too.
constexpr Duration kLateTaskPenalty = std::chrono::seconds(10);

}  // namespace

StageBatcher::StageBatcher(const StagePoolSpec& spec,
                           RepeatHook may_repeat,
                           ServerHook may_call,
                           FirstSendHook on_first_send)
    : spec_(spec),
      may_repeat_(std::move(may_repeat)),
      may_call_(std::move(may_call)),
      on_first_send_(std::move(on_first_send)) {}

void StageBatcher::SetServers(absl::Span<const BackendServer* const> servers) {
  std::map<std::string, Server> next;
  for (const BackendServer* listed : servers) {
    const auto known = servers_.find(listed->id_);
    Server server =
        known == servers_.end() ? Server() : std::move(known->second);
    server.id_ = listed->id_;
    server.name_ = listed->name_;
    server.address_ = listed->address_;
    server.failure_domain_ = listed->failure_domain_;
    server.leaving_ = listed->leaving_;
    next.emplace(listed->id_, std::move(server));
  }
  // A server with a call in flight is kept as draining.
  for (auto& [id, server] : servers_) {
    if (server.calls_ > 0 && next.count(id) == 0) {
      server.leaving_ = true;
      next.emplace(id, std::move(server));
    }
  }
  servers_ = std::move(next);
}

void StageBatcher::TakeOver(TimePoint now) {
  taken_over_ = now;
  for (auto& [id, server] : servers_) {
    server.may_be_busy_ = true;
  }
}

uint64_t StageBatcher::Add(StageTask task, TimePoint now) {
  const uint64_t number = ++last_number_;
  Task& added = tasks_[number];
  added.added_ = now;
  added.pieces_.resize(task.pieces_);
  added.waiting_ = task.pieces_;
  waiting_ += task.pieces_;
  average_pieces_ += kTaskSizeWeight * (task.pieces_ - average_pieces_);
  added.is_counted_ = task.was_sent_;
  added.is_unpaid_ = task.was_sent_ && task.is_unpaid_;
  added.task_ = std::move(task);
  return number;
}

bool StageBatcher::Cancel(uint64_t task) {
  const auto it = tasks_.find(task);
  if (it == tasks_.end()) {
    return false;
  }
  const bool not_run = HasNotRun(it->second);
  waiting_ -= it->second.waiting_;
  for (const Piece& piece : it->second.pieces_) {
    if (!piece.handle_.empty()) {
      Discard(piece.handle_);
    }
  }
  tasks_.erase(it);
  return not_run;
}

void StageBatcher::SetWaiting(Task* task, Piece* piece, bool waits) {
  if (piece->is_waiting_ == waits) {
    return;
  }
  piece->is_waiting_ = waits;
  if (waits) {
    ++task->waiting_;
    ++waiting_;
  } else {
    --task->waiting_;
    --waiting_;
  }
}

uint64_t StageBatcher::FreeCapacity(const Server& server) const {
  const auto capacity = static_cast<uint64_t>(
      static_cast<double>(spec_.result_capacity_bytes_) * kUsableCapacityRatio);
  const uint64_t used = server.held_bytes_ + server.reserved_bytes_;
  return used >= capacity ? 0 : capacity - used;
}

// Uses the average time too: a full call can take twice as long as one with a
// single piece.
bool StageBatcher::IsLate(TimePoint target, TimePoint now) const {
  return now + std::max(spec_.call_time_, average_call_time_) > target;
}

TimePoint StageBatcher::OrderOf(TimePoint target,
                                uint32_t priority,
                                uint32_t pieces,
                                TimePoint now) const {
  const double size = std::min(kMaxRelativeSize, pieces / average_pieces_);
  const TimePoint order =
      target + kPriorityPenalty * priority +
      std::chrono::duration_cast<Duration>(kSizePenalty * size);
  return IsLate(target, now) ? order + kLateTaskPenalty : order;
}

bool StageBatcher::IsInNearDomain(const Task& task,
                                  const Server& server) const {
  return task.task_.near_domain_.empty() ||
         task.task_.near_domain_ == server.failure_domain_;
}

std::map<std::string_view, StageBatcher::DomainLoad> StageBatcher::LoadByDomain(
    uint64_t min_capacity,
    TimePoint now) const {
  std::map<std::string_view, DomainLoad> loads;
  for (const auto& [id, server] : servers_) {
    const bool may_begin = server.calls_ == 0
                               ? FreeCapacity(server) >= min_capacity
                               : server.free_at_ + kMaxOverdue > now;
    if (server.leaving_ || server.suspended_until_ > now || !may_begin) {
      continue;
    }
    DomainLoad& domain = loads[server.failure_domain_];
    const TimePoint free_at = std::max(now, server.free_at_);
    domain.first_free_ =
        domain.servers_ == 0 ? free_at : std::min(domain.first_free_, free_at);
    ++domain.servers_;
  }
  for (const auto& [number, task] : tasks_) {
    const auto domain = loads.find(task.task_.near_domain_);
    if (domain != loads.end()) {
      domain->second.waiting_ += task.waiting_;
    }
  }
  return loads;
}

// Transfers between failure domains cost money, so a task waits for a busy
// server near its data as long as it still meets its target there, and the next
// calls of that domain's servers can carry all pieces that wait for them.
bool StageBatcher::WaitsForNearServer(const Task& task,
                                      const DomainLoad& load) const {
  return load.servers_ > 0 && load.waiting_ <= spec_.batch_ * load.servers_ &&
         !IsLate(task.task_.target_, load.first_free_);
}

bool StageBatcher::ExceedsAnyCall(const Task& task) const {
  const uint64_t bytes = task.waiting_ * task.task_.result_bytes_;
  return task.waiting_ > spec_.batch_ ||
         static_cast<double>(bytes) >
             static_cast<double>(spec_.result_capacity_bytes_) *
                 kUsableCapacityRatio;
}

// All pieces of a task are put into one call: otherwise the results of some
// would occupy capacity until the others are done. A task too large for any
// call or server is split.
bool StageBatcher::FitsCall(const Task& task,
                            size_t places,
                            uint64_t capacity) const {
  return ExceedsAnyCall(task) ||
         (task.waiting_ <= places &&
          task.waiting_ * task.task_.result_bytes_ <= capacity);
}

uint64_t StageBatcher::Announce(const StageForecast& forecast) {
  const uint64_t number = ++last_number_;
  announced_.emplace(number, forecast);
  return number;
}

void StageBatcher::Withdraw(uint64_t announcement) {
  announced_.erase(announcement);
}

double StageBatcher::PiecesPerMicrosecond(TimePoint now) const {
  double pieces_per_us = 0;
  for (const auto& [id, server] : servers_) {
    if (!server.leaving_ && server.suspended_until_ <= now) {
      const Duration call = ExpectedCallTime(server, spec_.batch_);
      pieces_per_us +=
          spec_.batch_ / std::max(1.0, static_cast<double>(call.count()));
    }
  }
  return pieces_per_us * kAchievedThroughputRatio;
}

StageWait StageBatcher::ExpectedWait(const StageForecast& forecast,
                                     TimePoint now) const {
  StageWait wait;
  wait.call_ = std::max(spec_.call_time_ + spec_.piece_time_ * forecast.pieces_,
                        average_call_time_);
  const double pieces_per_us = PiecesPerMicrosecond(now);
  if (pieces_per_us <= 0) {
    // No server takes calls now, for an unknown time.
    wait.on_time_ = kUnknownWait;
    wait.all_ = kUnknownWait;
    return wait;
  }
  const TimePoint order =
      OrderOf(forecast.target_, forecast.priority_, forecast.pieces_, now);
  uint64_t preceding = 0;
  uint64_t all = 0;
  const auto count = [&](TimePoint target, uint32_t priority, uint32_t pieces,
                         uint32_t waiting) {
    all += waiting;
    if (!IsLate(target, now) &&
        OrderOf(target, priority, pieces, now) <= order) {
      preceding += waiting;
    }
  };
  Duration oldest{};
  for (const auto& [number, task] : tasks_) {
    count(task.task_.target_, task.task_.priority_, task.task_.pieces_,
          task.waiting_);
    if (task.waiting_ > 0 && IsLate(task.task_.target_, now)) {
      oldest = std::max(oldest, now - task.added_);
    }
  }
  for (const auto& [number, announced] : announced_) {
    count(announced.target_, announced.priority_, announced.pieces_,
          announced.pieces_);
  }
  const auto time_for = [&](uint64_t pieces) {
    return Duration(std::llround(static_cast<double>(pieces) / pieces_per_us));
  };
  wait.on_time_ = time_for(preceding);
  // Late tasks, however few, get no server while tasks that are in time need
  // all servers: a new late task will wait at least as long as the oldest late
  // task has waited.
  wait.all_ = std::max(time_for(all), oldest);
  return wait;
}

Duration StageBatcher::ExpectedCallTime(const Server& server,
                                        size_t pieces) const {
  const double work = static_cast<double>(spec_.piece_time_.count()) *
                      piece_factor_ * static_cast<double>(pieces);
  const double all = static_cast<double>(spec_.call_time_.count()) + work;
  return Duration(std::llround(all * server.slow_factor_));
}

}  // namespace citronlane
