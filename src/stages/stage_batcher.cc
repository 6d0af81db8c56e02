#include "citronlane/stages/stage_batcher.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace citronlane {
namespace {

/// Results are somewhat larger than declared; a server without room drops a
/// piece after its call has begun.
constexpr double kUsedRoom = 0.92;
/// What is told while no server takes anything: as long as a call may take.
constexpr Duration kUnknownWait = std::chrono::seconds(5);
/// What a step of urgency is worth against the time to the target.
constexpr Duration kPriorityStep = std::chrono::milliseconds(800);
/// A task of the usual size goes this much after one of no size: a full pool
/// serves more requests when the small ones go first.
constexpr Duration kSizeStep = std::chrono::milliseconds(400);
/// Larger tasks wait no longer than ones of this many times the usual size.
constexpr double kLargestSize = 3;
/// Weight of the newest task in the usual size: some hundred tasks.
constexpr double kSizeLearnWeight = 0.01;
/// A server that should have been done this long ago is not waited for.
constexpr Duration kOverdue = std::chrono::milliseconds(100);
/// Part of the best throughput that calls reach: some are not full.
constexpr double kReachedPart = 0.8;
/// Tasks that missed their target come after all that may meet it: served first
/// they would make the others late too.
constexpr Duration kLateTasksBehind = std::chrono::seconds(10);

}  // namespace

StageBatcher::StageBatcher(const StagePoolSpec& spec, RepeatHook may_repeat)
    : spec_(spec), may_repeat_(std::move(may_repeat)) {}

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
  // A server with a call in hand is kept until the call ends.
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
  usual_pieces_ += kSizeLearnWeight * (task.pieces_ - usual_pieces_);
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
  if (piece->waits_ == waits) {
    return;
  }
  piece->waits_ = waits;
  if (waits) {
    ++task->waiting_;
    ++waiting_;
  } else {
    --task->waiting_;
    --waiting_;
  }
}

uint64_t StageBatcher::RoomOf(const Server& server) const {
  const auto room =
      static_cast<uint64_t>(static_cast<double>(spec_.room_bytes_) * kUsedRoom);
  const uint64_t used = server.held_bytes_ + server.reserved_bytes_;
  return used >= room ? 0 : room - used;
}

// By what calls take now: full ones take twice as long as those of one piece.
bool StageBatcher::IsLate(TimePoint target, TimePoint now) const {
  return now + std::max(spec_.call_time_, usual_call_) > target;
}

TimePoint StageBatcher::OrderOf(TimePoint target,
                                uint32_t priority,
                                uint32_t pieces,
                                TimePoint now) const {
  const double size = std::min(kLargestSize, pieces / usual_pieces_);
  const TimePoint order =
      target + kPriorityStep * priority +
      std::chrono::duration_cast<Duration>(kSizeStep * size);
  return IsLate(target, now) ? order + kLateTasksBehind : order;
}

bool StageBatcher::IsNear(const Task& task, const Server& server) const {
  return task.task_.near_domain_.empty() ||
         task.task_.near_domain_ == server.failure_domain_;
}

std::map<std::string_view, StageBatcher::Nearby> StageBatcher::NearbyByDomain(
    uint64_t least_room,
    TimePoint now) const {
  std::map<std::string_view, Nearby> nearby;
  for (const auto& [id, server] : servers_) {
    const bool may_begin = server.calls_ == 0
                               ? RoomOf(server) >= least_room
                               : server.free_at_ + kOverdue > now;
    if (server.leaving_ || server.suspended_until_ > now || !may_begin) {
      continue;
    }
    Nearby& domain = nearby[server.failure_domain_];
    const TimePoint free_at = std::max(now, server.free_at_);
    domain.first_free_ =
        domain.servers_ == 0 ? free_at : std::min(domain.first_free_, free_at);
    ++domain.servers_;
  }
  for (const auto& [number, task] : tasks_) {
    const auto domain = nearby.find(task.task_.near_domain_);
    if (domain != nearby.end()) {
      domain->second.waiting_ += task.waiting_;
    }
  }
  return nearby;
}

// A busy server near the task's data is waited for as long as the task still
// meets its target there, and as long as the next calls of the servers there
// can carry all that waits for them: bytes between failure domains have a
// price, and the answer is not late for it.
bool StageBatcher::WaitsForNearServer(const Task& task,
                                      const Nearby& nearby) const {
  return nearby.servers_ > 0 &&
         nearby.waiting_ <= spec_.batch_ * nearby.servers_ &&
         !IsLate(task.task_.target_, nearby.first_free_);
}

bool StageBatcher::CanNeverGoWhole(const Task& task) const {
  const uint64_t bytes = task.waiting_ * task.task_.result_bytes_;
  return task.waiting_ > spec_.batch_ ||
         static_cast<double>(bytes) >
             static_cast<double>(spec_.room_bytes_) * kUsedRoom;
}

// Pieces of one task go together: results of a part would only take room until
// the rest is made. A task that no call or server could take whole is cut.
bool StageBatcher::FitsWhole(const Task& task,
                             size_t places,
                             uint64_t room) const {
  return CanNeverGoWhole(task) ||
         (task.waiting_ <= places &&
          task.waiting_ * task.task_.result_bytes_ <= room);
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
      const Duration call = Expected(server, spec_.batch_);
      pieces_per_us +=
          spec_.batch_ / std::max(1.0, static_cast<double>(call.count()));
    }
  }
  return pieces_per_us * kReachedPart;
}

StageWait StageBatcher::ExpectedWait(const StageForecast& forecast,
                                     TimePoint now) const {
  StageWait wait;
  wait.call_ = std::max(spec_.call_time_ + spec_.piece_time_ * forecast.pieces_,
                        usual_call_);
  const double pieces_per_us = PiecesPerMicrosecond(now);
  if (pieces_per_us <= 0) {
    // Nobody takes anything now; how long that lasts is not known.
    wait.on_time_ = kUnknownWait;
    wait.all_ = kUnknownWait;
    return wait;
  }
  const TimePoint order =
      OrderOf(forecast.target_, forecast.priority_, forecast.pieces_, now);
  uint64_t before = 0;
  uint64_t all = 0;
  const auto count = [&](TimePoint target, uint32_t priority, uint32_t pieces,
                         uint32_t waiting) {
    all += waiting;
    if (!IsLate(target, now) &&
        OrderOf(target, priority, pieces, now) <= order) {
      before += waiting;
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
  wait.on_time_ = time_for(before);
  // Late tasks wait until those that are in time leave servers free, however
  // few they are: what the oldest has waited, a new one will at least.
  wait.all_ = std::max(time_for(all), oldest);
  return wait;
}

Duration StageBatcher::Expected(const Server& server, size_t pieces) const {
  const double work = static_cast<double>(spec_.piece_time_.count()) *
                      piece_factor_ * static_cast<double>(pieces);
  const double all = static_cast<double>(spec_.call_time_.count()) + work;
  return Duration(std::llround(all * server.slowness_));
}

}  // namespace citronlane
