#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

#include "citronlane/stages/stage_batcher.h"

namespace citronlane {
namespace {

/// Time to the target that a server in another failure domain counts for, since
/// transfers between failure domains cost money.
constexpr Duration kRemoteServerPenalty = std::chrono::milliseconds(400);
/// A call that takes longer than this is given up.
constexpr Duration kMaxCallTime = std::chrono::seconds(5);
/// A server that will be free this soon gets its next call now, to be queued
/// there. Otherwise a busy pool's servers idle between two calls for the round
/// trip and the scheduling delay of the sender.
constexpr Duration kSendAheadTime = std::chrono::milliseconds(60);
/// Least fill of a call, in pieces of the largest batch, to be sent ahead:
/// pieces that arrive until the server is free could have filled it.
constexpr double kMinSendAheadFillRatio = 0.8;

}  // namespace

// Sorted by speed; among equals the one with the most free capacity first.
std::vector<StageBatcher::Server*> StageBatcher::IdleServers(TimePoint now) {
  std::vector<Server*> idle;
  for (auto& [id, server] : servers_) {
    if (!server.leaving_ && server.calls_ == 0 &&
        server.suspended_until_ <= now && may_call_(id, now)) {
      idle.push_back(&server);
    }
  }
  // Rounded, so that small differences do not count.
  const auto step = [](const Server* server) {
    constexpr double kStepsPerUnit = 5;
    return std::lround(server->slow_factor_ * kStepsPerUnit);
  };
  std::sort(idle.begin(), idle.end(), [&](const Server* a, const Server* b) {
    return std::make_pair(step(a), FreeCapacity(*b)) <
           std::make_pair(step(b), FreeCapacity(*a));
  });
  return idle;
}

// Servers about to end a call, if enough pieces wait to fill another one.
std::vector<StageBatcher::Server*> StageBatcher::ServersFinishingSoon(
    TimePoint now) {
  std::vector<Server*> servers;
  if (spec_.queue_ == 0 || waiting_ < spec_.batch_) {
    return servers;
  }
  for (auto& [id, server] : servers_) {
    if (!server.leaving_ && server.calls_ == 1 &&
        server.consecutive_failures_ == 0 && server.suspended_until_ <= now &&
        server.free_at_ <= now + kSendAheadTime && may_call_(id, now)) {
      servers.push_back(&server);
    }
  }
  return servers;
}

std::vector<StageBatcher::OrderedTask> StageBatcher::TasksInOrder(
    uint64_t min_capacity,
    TimePoint now) {
  const auto loads = LoadByDomain(min_capacity, now);
  std::vector<OrderedTask> tasks;
  for (auto& [number, task] : tasks_) {
    if (task.waiting_ == 0) {
      continue;
    }
    const auto domain = loads.find(task.task_.near_domain_);
    tasks.push_back(
        {OrderOf(task.task_.target_, task.task_.priority_, task.task_.pieces_,
                 now),
         number, &task,
         domain != loads.end() && WaitsForNearServer(task, domain->second)});
  }
  std::sort(tasks.begin(), tasks.end(),
            [](const OrderedTask& a, const OrderedTask& b) {
              return std::tie(a.order_, a.number_) <
                     std::tie(b.order_, b.number_);
            });
  return tasks;
}

// The least free capacity with which a server can take any task.
uint64_t StageBatcher::MinUsefulCapacity() const {
  uint64_t least = std::numeric_limits<uint64_t>::max();
  for (const auto& [number, task] : tasks_) {
    if (task.waiting_ == 0) {
      continue;
    }
    const uint64_t bytes = task.task_.result_bytes_;
    least =
        std::min(least, ExceedsAnyCall(task) ? bytes : task.waiting_ * bytes);
  }
  return least;
}

std::optional<StageBatch> StageBatcher::Next(TimePoint now) {
  if (waiting_ == 0) {
    return std::nullopt;
  }
  const std::vector<Server*> idle = IdleServers(now);
  const std::vector<Server*> soon = ServersFinishingSoon(now);
  if (idle.empty() && soon.empty()) {
    return std::nullopt;
  }
  const uint64_t least = MinUsefulCapacity();
  std::optional<std::vector<OrderedTask>> tasks;
  const auto choose = [&](const Server& server, bool with_repeats) {
    if (FreeCapacity(server) < least) {
      return std::vector<ChosenPiece>();
    }
    if (!tasks) {
      tasks = TasksInOrder(least, now);
    }
    return ChoosePieces(server, *tasks, with_repeats, now);
  };
  for (Server* server : idle) {
    const auto pieces = choose(*server, true);
    if (!pieces.empty()) {
      return Start(server, pieces, now);
    }
  }
  const auto full =
      static_cast<size_t>(std::lround(spec_.batch_ * kMinSendAheadFillRatio));
  for (Server* server : soon) {
    // A call that is not full is not sent, so no repeat may be paid for it.
    const auto pieces = choose(*server, false);
    if (pieces.size() >= full) {
      return Start(server, pieces, now);
    }
  }
  return std::nullopt;
}

// Merges the tasks near the server and the others, which are ordered as if they
// were later.
std::vector<StageBatcher::ChosenPiece> StageBatcher::ChoosePieces(
    const Server& server,
    absl::Span<const OrderedTask> tasks,
    bool with_repeats,
    TimePoint now) {
  uint64_t capacity = FreeCapacity(server);
  std::vector<ChosenPiece> chosen;
  size_t near = 0;
  size_t remote = 0;
  while (chosen.size() < spec_.batch_) {
    while (near < tasks.size() && !IsInNearDomain(*tasks[near].task_, server)) {
      ++near;
    }
    while (remote < tasks.size() &&
           (tasks[remote].waits_for_near_ ||
            IsInNearDomain(*tasks[remote].task_, server))) {
      ++remote;
    }
    if (near >= tasks.size() && remote >= tasks.size()) {
      break;
    }
    const auto remote_order = [&] {
      return std::make_pair(tasks[remote].order_ + kRemoteServerPenalty,
                            tasks[remote].number_);
    };
    const bool is_near_next =
        remote >= tasks.size() ||
        (near < tasks.size() &&
         std::make_pair(tasks[near].order_, tasks[near].number_) <
             remote_order());
    const OrderedTask& next = tasks[is_near_next ? near++ : remote++];
    Task* const task = next.task_;
    const uint64_t bytes = task->task_.result_bytes_;
    if (bytes > capacity ||
        !FitsCall(*task, spec_.batch_ - chosen.size(), capacity) ||
        (HasRepeats(*task) && !(with_repeats && may_repeat_(now)))) {
      continue;
    }
    for (uint32_t i = 0; i < task->pieces_.size(); ++i) {
      if (task->pieces_[i].is_waiting_ && chosen.size() < spec_.batch_ &&
          bytes <= capacity) {
        capacity -= bytes;
        chosen.push_back({next.number_, i, task});
      }
    }
  }
  return chosen;
}

bool StageBatcher::HasRepeats(const Task& task) {
  return task.is_unpaid_ ||
         std::any_of(task.pieces_.begin(), task.pieces_.end(),
                     [](const Piece& piece) {
                       return piece.is_waiting_ && piece.attempts_ > 0;
                     });
}

StageBatch StageBatcher::Start(Server* server,
                               const std::vector<ChosenPiece>& chosen,
                               TimePoint now) {
  Call call;
  StageBatch batch;
  // A server that is busy, possibly for another gateway, starts this call later
  // and fetches its inputs only then: they must not be released before.
  call.is_waiting_ = server->calls_ > 0;
  const bool may_wait = call.is_waiting_ || server->may_be_busy_;
  for (const auto& [number, index, task] : chosen) {
    Piece& piece = task->pieces_[index];
    call.reserved_bytes_ += task->task_.result_bytes_;
    call.pieces_.emplace_back(number, index);
    batch.pieces_.push_back(MakePiece(*task, index, now));
    SetWaiting(task, &piece, false);
    ++piece.attempts_;
    ++piece.in_calls_;
    task->is_unpaid_ = false;
    if (!std::exchange(task->is_counted_, true)) {
      on_first_send_(now);
    }
    task->last_started_ = may_wait ? now + kMaxCallTime : now;
  }
  call.server_ = server->id_;
  call.started_ = now;
  call.expected_ = ExpectedCallTime(*server, batch.pieces_.size());
  call.slow_factor_ = server->slow_factor_;
  server->reserved_bytes_ += call.reserved_bytes_;
  ++server->calls_;
  server->free_at_ = std::max(server->free_at_, now) + call.expected_;
  batch.call_ = ++last_number_;
  if (call.is_waiting_) {
    server->queued_call_ = batch.call_;
  }
  batch.server_ = server->id_;
  batch.server_name_ = server->name_;
  batch.address_ = server->address_;
  batch.deadline_ = now + kMaxCallTime;
  batch.kept_bytes_ = server->held_bytes_;
  batch.room_left_ = FreeCapacity(*server);
  calls_.emplace(batch.call_, std::move(call));
  return batch;
}

// The server now runs the call that was queued there.
void StageBatcher::MarkQueuedCallStarted(Server* server, TimePoint now) {
  const auto it = calls_.find(std::exchange(server->queued_call_, 0));
  if (it == calls_.end()) {
    return;
  }
  Call& call = it->second;
  call.is_waiting_ = false;
  call.started_ = now;
  server->free_at_ = now + call.expected_;
  for (const auto& [number, index] : call.pieces_) {
    if (const auto task = tasks_.find(number); task != tasks_.end()) {
      task->second.last_started_ = now;
    }
  }
}

StagePiece StageBatcher::MakePiece(const Task& task,
                                   uint32_t piece,
                                   TimePoint now) const {
  StagePiece made;
  made.request_id_ = task.task_.request_id_;
  made.stage_ = task.task_.stage_;
  made.piece_ = piece;
  made.time_left_ = task.task_.deadline_ - now;
  made.has_inputs_ = task.task_.has_inputs_;
  made.inputs_ = task.task_.inputs_;
  made.key_ = task.task_.key_;
  return made;
}

}  // namespace citronlane
