#include <algorithm>
#include <iterator>
#include <utility>

#include "citronlane/stages/stage_batcher.h"

namespace citronlane {
namespace {

/// A call that takes this many times as long as expected is on a server that
/// hangs: its pieces are given to another one as well.
constexpr double kLateFactor = 2.2;
constexpr Duration kLateReserve = std::chrono::milliseconds(150);
/// By then a server whose turn for a call has come has fetched its inputs: a
/// few megabytes over links of gigabits, and a few milliseconds of way.
constexpr Duration kFetchTime = std::chrono::milliseconds(60);

}  // namespace

// What can't be done any more takes no places in calls: late tasks may wait
// longer than their inputs last.
void StageBatcher::EndHopelessTasks(TimePoint now) {
  std::vector<uint64_t> late;
  std::vector<uint64_t> without_inputs;
  for (const auto& [number, task] : tasks_) {
    const bool is_unbegun = task.waiting_ == task.task_.pieces_;
    const Duration least = is_unbegun ? spec_.call_time_ : Duration();
    if (task.task_.deadline_ <= now + least) {
      late.push_back(number);
    } else if (task.waiting_ > 0 && task.task_.inputs_until_ <= now) {
      without_inputs.push_back(number);
    }
  }
  for (const uint64_t number : late) {
    End(number, StageOutcome::Result::kLate);
  }
  for (const uint64_t number : without_inputs) {
    End(number, StageOutcome::Result::kInputGone);
  }
}

void StageBatcher::Tick(TimePoint now) {
  EndHopelessTasks(now);
  for (auto& [id, server] : servers_) {
    for (auto it = server.results_.begin(); it != server.results_.end();) {
      if (it->second.expires_ > now) {
        ++it;
        continue;
      }
      server.held_bytes_ -= it->second.bytes_;
      keepers_.erase(it->first);
      it = server.results_.erase(it);
    }
  }
  for (auto it = announced_.begin(); it != announced_.end();) {
    it = it->second.deadline_ <= now ? announced_.erase(it) : std::next(it);
  }
  HedgeLateCalls(now);
  RequeueParked(now);
  NoteTakenInputs(now);
}

// A server that hangs answers nothing for many seconds; the pieces it holds go
// to another one too, and whichever result comes first is taken.
void StageBatcher::HedgeLateCalls(TimePoint now) {
  for (auto& [number, call] : calls_) {
    const auto late = std::chrono::duration_cast<Duration>(
        call.expected_ * kLateFactor + kLateReserve);
    if (call.hedged_ || now - call.begun_ < late) {
      continue;
    }
    call.hedged_ = true;
    if (const auto found = servers_.find(call.server_);
        found != servers_.end() && found->second.calls_ > 0) {
      // Slow, or only this answer was lost: the next call will tell.
      Server& server = found->second;
      server.slowness_ = std::max(server.slowness_, kLateFactor);
      --server.calls_;
      EndTurn(&server, number, now);
    }
    for (const auto& [task, piece] : call.pieces_) {
      if (const auto owner = tasks_.find(task);
          owner != tasks_.end() && owner->second.task_.deadline_ > now) {
        Requeue(task, piece, true, now);
      }
    }
  }
}

// What a stage works on can be freed as soon as it was fetched, well before the
// stage is done: room for results bounds what the pool before can make.
void StageBatcher::NoteTakenInputs(TimePoint now) {
  for (auto& [number, task] : tasks_) {
    if (!task.task_.has_inputs_ || task.inputs_taken_ ||
        now - task.last_begun_ < kFetchTime) {
      continue;
    }
    const bool all_sent = std::all_of(
        task.pieces_.begin(), task.pieces_.end(), [](const Piece& piece) {
          return piece.in_calls_ > 0 || !piece.handle_.empty();
        });
    if (all_sent) {
      task.inputs_taken_ = true;
      taken_.push_back(number);
    }
  }
}

std::vector<uint64_t> StageBatcher::TakeTasksWithInputsTaken() {
  return std::exchange(taken_, {});
}

// Pieces that may not be repeated yet are tried again until they may.
void StageBatcher::RequeueParked(TimePoint now) {
  for (const auto& [task, piece] : std::exchange(parked_, {})) {
    Requeue(task, piece, true, now);
  }
}

}  // namespace citronlane
