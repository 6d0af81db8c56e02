#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "citronlane/stages/stage_batcher.h"

namespace citronlane {
namespace {

/// What a server near a task's data is worth when servers are busy: bytes
/// between failure domains have their price.
constexpr Duration kFarStep = std::chrono::milliseconds(400);
/// A call that takes longer than this is given up.
constexpr Duration kLongestCall = std::chrono::seconds(5);
/// A server that will be free this soon gets its next call now, to wait there:
/// else the way to it and back, and its sender's wait for the processor, pass
/// between two calls of a full pool.
constexpr Duration kSendAhead = std::chrono::milliseconds(60);
/// Only calls that are this full are sent ahead: pieces that come meanwhile
/// could have filled others.
constexpr double kAheadFill = 0.8;

}  // namespace

// The fastest first; among equals the one with the most room.
std::vector<StageBatcher::Server*> StageBatcher::IdleServers(TimePoint now) {
  std::vector<Server*> idle;
  for (auto& [id, server] : servers_) {
    if (!server.leaving_ && server.calls_ == 0 &&
        server.suspended_until_ <= now) {
      idle.push_back(&server);
    }
  }
  // In steps, so that small differences do not count.
  const auto step = [](const Server* server) {
    constexpr double kSteps = 5;
    return std::lround(server->slowness_ * kSteps);
  };
  std::sort(idle.begin(), idle.end(), [&](const Server* a, const Server* b) {
    return std::make_pair(step(a), RoomOf(*b)) <
           std::make_pair(step(b), RoomOf(*a));
  });
  return idle;
}

// Those that are about to end a call, when there is enough for another one.
std::vector<StageBatcher::Server*> StageBatcher::ServersAboutToEnd(
    TimePoint now) {
  std::vector<Server*> servers;
  if (spec_.queue_ == 0 || waiting_ < spec_.batch_) {
    return servers;
  }
  for (auto& [id, server] : servers_) {
    if (!server.leaving_ && server.calls_ == 1 &&
        server.failures_in_row_ == 0 && server.suspended_until_ <= now &&
        server.free_at_ <= now + kSendAhead) {
      servers.push_back(&server);
    }
  }
  return servers;
}

std::vector<std::pair<uint64_t, StageBatcher::Task*>>
StageBatcher::TasksInOrder(const Server& server,
                           uint64_t least_room,
                           TimePoint now) {
  const auto nearby = NearbyByDomain(least_room, now);
  const auto waits_elsewhere = [&](const Task& task) {
    const auto domain = nearby.find(task.task_.near_domain_);
    return domain != nearby.end() && WaitsForNearServer(task, domain->second);
  };
  std::vector<std::pair<TimePoint, uint64_t>> order;
  for (const auto& [number, task] : tasks_) {
    const bool is_near = IsNear(task, server);
    if (task.waiting_ > 0 && (is_near || !waits_elsewhere(task))) {
      const TimePoint by_task = OrderOf(
          task.task_.target_, task.task_.priority_, task.task_.pieces_, now);
      order.emplace_back(by_task + (is_near ? Duration() : kFarStep), number);
    }
  }
  std::sort(order.begin(), order.end());
  std::vector<std::pair<uint64_t, Task*>> tasks;
  tasks.reserve(order.size());
  for (const auto& [time, number] : order) {
    tasks.emplace_back(number, &tasks_.at(number));
  }
  return tasks;
}

// The least room with which a server could take anything.
uint64_t StageBatcher::LeastRoomWanted() const {
  uint64_t least = std::numeric_limits<uint64_t>::max();
  for (const auto& [number, task] : tasks_) {
    if (task.waiting_ == 0) {
      continue;
    }
    const uint64_t bytes = task.task_.result_bytes_;
    least =
        std::min(least, CanNeverGoWhole(task) ? bytes : task.waiting_ * bytes);
  }
  return least;
}

std::optional<StageBatch> StageBatcher::Next(TimePoint now) {
  if (waiting_ == 0) {
    return std::nullopt;
  }
  const uint64_t least = LeastRoomWanted();
  for (Server* server : IdleServers(now)) {
    if (RoomOf(*server) < least) {
      continue;
    }
    const auto pieces = ChooseFor(*server, least, now);
    if (!pieces.empty()) {
      return Start(server, pieces, now);
    }
  }
  const auto full = static_cast<size_t>(std::lround(spec_.batch_ * kAheadFill));
  for (Server* server : ServersAboutToEnd(now)) {
    if (RoomOf(*server) < least) {
      continue;
    }
    const auto pieces = ChooseFor(*server, least, now);
    if (pieces.size() >= full) {
      return Start(server, pieces, now);
    }
  }
  return std::nullopt;
}

std::vector<StageBatcher::ChosenPiece> StageBatcher::ChooseFor(
    const Server& server,
    uint64_t least_room,
    TimePoint now) {
  uint64_t room = RoomOf(server);
  std::vector<ChosenPiece> chosen;
  for (const auto& [number, task] : TasksInOrder(server, least_room, now)) {
    const uint64_t bytes = task->task_.result_bytes_;
    if (!FitsWhole(*task, spec_.batch_ - chosen.size(), room)) {
      continue;
    }
    for (uint32_t i = 0; i < task->pieces_.size(); ++i) {
      if (task->pieces_[i].waits_ && chosen.size() < spec_.batch_ &&
          bytes <= room) {
        room -= bytes;
        chosen.push_back({number, i, task});
      }
    }
    if (chosen.size() >= spec_.batch_) {
      break;
    }
  }
  return chosen;
}

StageBatch StageBatcher::Start(Server* server,
                               const std::vector<ChosenPiece>& chosen,
                               TimePoint now) {
  Call call;
  StageBatch batch;
  // A server that is at work, also for another gateway, begins with it later
  // and fetches inputs then: they must not be freed before.
  call.waits_ = server->calls_ > 0;
  const bool may_wait = call.waits_ || server->may_be_busy_;
  for (const auto& [number, index, task] : chosen) {
    Piece& piece = task->pieces_[index];
    call.reserved_bytes_ += task->task_.result_bytes_;
    call.pieces_.emplace_back(number, index);
    batch.pieces_.push_back(MakePiece(*task, index, now));
    SetWaiting(task, &piece, false);
    ++piece.tries_;
    ++piece.in_calls_;
    task->last_begun_ = may_wait ? now + kLongestCall : now;
  }
  call.server_ = server->id_;
  call.begun_ = now;
  call.expected_ = Expected(*server, batch.pieces_.size());
  call.slowness_ = server->slowness_;
  server->reserved_bytes_ += call.reserved_bytes_;
  ++server->calls_;
  server->free_at_ = std::max(server->free_at_, now) + call.expected_;
  batch.call_ = ++last_number_;
  if (call.waits_) {
    server->waiting_call_ = batch.call_;
  }
  batch.server_ = server->id_;
  batch.server_name_ = server->name_;
  batch.address_ = server->address_;
  batch.deadline_ = now + kLongestCall;
  batch.kept_bytes_ = server->held_bytes_;
  batch.room_left_ = RoomOf(*server);
  calls_.emplace(batch.call_, std::move(call));
  return batch;
}

// The call that waited at the server has its turn.
void StageBatcher::BeginWaitingCall(Server* server, TimePoint now) {
  const auto it = calls_.find(std::exchange(server->waiting_call_, 0));
  if (it == calls_.end()) {
    return;
  }
  Call& call = it->second;
  call.waits_ = false;
  call.begun_ = now;
  server->free_at_ = now + call.expected_;
  for (const auto& [number, index] : call.pieces_) {
    if (const auto task = tasks_.find(number); task != tasks_.end()) {
      task->second.last_begun_ = now;
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
