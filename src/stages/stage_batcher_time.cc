#include <algorithm>
#include <iterator>
#include <utility>

#include "citronlane/stages/stage_batcher.h"

namespace citronlane {
namespace {

/// A call is late after this multiple of its expected time plus the margin: its
/// server may hang.
constexpr double kLateToExpectedRatio = 2.2;
constexpr Duration kLateMargin = std::chrono::milliseconds(150);
/// Time in which a server fetches the inputs of a call it has started: a few
/// megabytes over gigabit links, and a few milliseconds of latency.
constexpr Duration kInputFetchTime = std::chrono::milliseconds(60);

}  // namespace

// Ends tasks that can not be done any more, so that they take no place in
// calls: the deadline is too close, or the inputs expired while they waited.
void StageBatcher::EndUnfinishableTasks(TimePoint now) {
  std::vector<uint64_t> late;
  std::vector<uint64_t> without_inputs;
  for (const auto& [number, task] : tasks_) {
    const bool is_unsent = task.waiting_ == task.task_.pieces_;
    const Duration least = is_unsent ? spec_.call_time_ : Duration();
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
  EndUnfinishableTasks(now);
  for (auto& [id, server] : servers_) {
    for (auto it = server.results_.begin(); it != server.results_.end();) {
      if (it->second.expires_ > now) {
        ++it;
        continue;
      }
      server.held_bytes_ -= it->second.bytes_;
      holders_.erase(it->first);
      it = server.results_.erase(it);
    }
  }
  for (auto it = announced_.begin(); it != announced_.end();) {
    it = it->second.deadline_ <= now ? announced_.erase(it) : std::next(it);
  }
  HedgeLateCalls(now);
  RecordFetchedInputs(now);
}

// A server that hangs sends no reply for many seconds. The pieces of its late
// calls wait for another call too, and the first result of each is used.
void StageBatcher::HedgeLateCalls(TimePoint now) {
  for (auto& [number, call] : calls_) {
    const auto late = std::chrono::duration_cast<Duration>(
        call.expected_ * kLateToExpectedRatio + kLateMargin);
    if (call.hedged_ || now - call.started_ < late) {
      continue;
    }
    call.hedged_ = true;
    if (const auto found = servers_.find(call.server_);
        found != servers_.end() && found->second.calls_ > 0) {
      // Either the server is slow or only this reply was lost: the next call
      // will show, so the server may take it.
      Server& server = found->second;
      server.slow_factor_ = std::max(server.slow_factor_, kLateToExpectedRatio);
      --server.calls_;
      StartQueuedCall(&server, number, now);
    }
    for (const auto& [task, piece] : call.pieces_) {
      if (const auto found = tasks_.find(task);
          found != tasks_.end() && found->second.task_.deadline_ > now) {
        Requeue(task, piece);
      }
    }
  }
}

// Inputs can be released as soon as they were fetched, well before the stage is
// done: the capacity for results limits the throughput of the previous pool.
void StageBatcher::RecordFetchedInputs(TimePoint now) {
  for (auto& [number, task] : tasks_) {
    if (!task.task_.has_inputs_ || task.inputs_taken_ ||
        now - task.last_started_ < kInputFetchTime) {
      continue;
    }
    const bool all_sent = std::all_of(
        task.pieces_.begin(), task.pieces_.end(), [](const Piece& piece) {
          return piece.in_calls_ > 0 || !piece.handle_.empty();
        });
    if (all_sent) {
      task.inputs_taken_ = true;
      tasks_with_inputs_taken_.push_back(number);
    }
  }
}

std::vector<uint64_t> StageBatcher::TakeTasksWithInputsTaken() {
  return std::exchange(tasks_with_inputs_taken_, {});
}

}  // namespace citronlane
