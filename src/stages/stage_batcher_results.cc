#include <algorithm>
#include <cmath>
#include <utility>

#include "citronlane/serving/result_handle.h"
#include "citronlane/stages/stage_batcher.h"

namespace citronlane {
namespace {

/// Keeps what is learned of a server away from 0.
constexpr double kLeastSlowness = 0.05;
/// A piece that failed this often is not tried again.
constexpr uint32_t kMostTries = 4;
/// Weight of the newest call in what is learned of a server.
constexpr double kLearnWeight = 0.3;
/// The same of what calls of the whole pool take: a second or two of calls.
constexpr double kCallLearnWeight = 0.05;
/// Pieces of a task that fail within this time are one repeat of its request.
constexpr Duration kRepeatTogether = std::chrono::milliseconds(50);
/// After a failure a server gets no call for this long, twice as long after
/// each further one in a row.
constexpr Duration kFirstSuspension = std::chrono::milliseconds(300);
constexpr int kMostDoublings = 4;
/// A server that refuses has calls of another gateway in hand.
constexpr Duration kRefusedPause = std::chrono::milliseconds(60);
/// A server without room, though none is missed, holds what another gateway
/// made or what is about to be freed.
constexpr Duration kUnseenTime = std::chrono::milliseconds(500);

}  // namespace

// Ends the call at its server; null when that is gone.
StageBatcher::Server* StageBatcher::ReleaseCall(uint64_t number,
                                                const Call& call,
                                                TimePoint now) {
  const auto found = servers_.find(call.server_);
  if (found == servers_.end()) {
    return nullptr;
  }
  Server& server = found->second;
  // A server that was away from the list has begun to count anew.
  server.reserved_bytes_ -=
      std::min(server.reserved_bytes_, call.reserved_bytes_);
  if (!call.hedged_ && server.calls_ > 0) {
    --server.calls_;
  }
  if (server.calls_ == 0) {
    server.free_at_ = now;
  }
  EndTurn(&server, number, now);
  return &server;
}

// The call is over, or was given up: the one that waits behind it has its turn.
void StageBatcher::EndTurn(Server* server, uint64_t number, TimePoint now) {
  if (server->waiting_call_ == number) {
    server->waiting_call_ = 0;
  } else if (server->waiting_call_ != 0) {
    BeginWaitingCall(server, now);
  }
}

void StageBatcher::Finished(uint64_t number,
                            absl::Span<const StagePieceResult> results,
                            TimePoint now) {
  const auto it = calls_.find(number);
  if (it == calls_.end()) {
    return;
  }
  const Call call = std::move(it->second);
  calls_.erase(it);
  Server* server = ReleaseCall(number, call, now);
  if (server != nullptr) {
    server->failures_in_row_ = 0;
    server->may_be_busy_ = false;
    const auto took = static_cast<double>((now - call.begun_).count());
    const double usual = static_cast<double>(call.expected_.count()) /
                         std::max(call.slowness_, kLeastSlowness);
    if (usual > 0) {
      server->slowness_ += kLearnWeight * (took / usual - server->slowness_);
    }
  }
  if (!call.hedged_) {
    usual_call_ += std::chrono::duration_cast<Duration>(
        kCallLearnWeight * (now - call.begun_ - usual_call_));
  }
  for (size_t i = 0; i < call.pieces_.size(); ++i) {
    const auto& [task, piece] = call.pieces_[i];
    const StagePieceResult result =
        i < results.size() ? results[i] : StagePieceResult();
    TakeResult(task, piece, result, server, now);
  }
}

void StageBatcher::TakeResult(uint64_t number,
                              uint32_t index,
                              const StagePieceResult& result,
                              Server* server,
                              TimePoint now) {
  using Outcome = StagePieceResult::Outcome;
  const auto it = tasks_.find(number);
  const uint64_t bytes =
      it == tasks_.end() ? 0 : it->second.task_.result_bytes_;
  if (result.outcome_ == Outcome::kDone && server != nullptr) {
    KeepResult(server, result.handle_, bytes, now);
  }
  if (it == tasks_.end()) {
    if (result.outcome_ == Outcome::kDone) {
      Discard(result.handle_);
    }
    return;
  }
  Task& task = it->second;
  Piece& piece = task.pieces_[index];
  --piece.in_calls_;
  task.may_have_run_ = true;
  switch (result.outcome_) {
    case Outcome::kDone:
      if (!piece.handle_.empty()) {
        Discard(result.handle_);
        return;
      }
      piece.handle_ = result.handle_;
      SetWaiting(&task, &piece, false);
      if (++task.done_ == task.pieces_.size()) {
        End(number, StageOutcome::Result::kDone);
      }
      return;
    case Outcome::kLate:
      End(number, StageOutcome::Result::kLate);
      return;
    case Outcome::kInputGone:
      End(number, StageOutcome::Result::kInputGone);
      return;
    case Outcome::kNoRoom:
      if (server != nullptr) {
        TakeNoRoom(server, bytes, now);
      }
      Requeue(number, index, true, now);
      return;
    case Outcome::kFailed:
      Requeue(number, index, true, now);
      return;
  }
}

void StageBatcher::KeepResult(Server* server,
                              const std::string& handle,
                              uint64_t bytes,
                              TimePoint now) {
  server->results_[handle] = Result{bytes, now + spec_.result_life_};
  server->held_bytes_ += bytes;
  keepers_[handle] = server->id_;
}

// Something lies there that this pool can't name.
void StageBatcher::TakeRoom(Server* server, uint64_t bytes, TimePoint until) {
  server->results_["unnamed " + std::to_string(++last_number_)] =
      Result{bytes, until};
  server->held_bytes_ += bytes;
}

// A piece was dropped for want of room. Results of calls that were under way
// when a gateway was killed are known to nobody, and take room for as long as
// results are kept. Half of the room is about what calls
// under way can fill.
void StageBatcher::TakeNoRoom(Server* server, uint64_t bytes, TimePoint now) {
  server->suspended_until_ = now + kRefusedPause;
  const bool may_be_left =
      taken_over_ && now - *taken_over_ < spec_.result_life_;
  if (may_be_left && !server->has_left_results_) {
    server->has_left_results_ = true;
    TakeRoom(server, spec_.room_bytes_ / 2, *taken_over_ + spec_.result_life_);
  } else if (!may_be_left) {
    TakeRoom(server, bytes, now + kUnseenTime);
  }
}

void StageBatcher::Requeue(uint64_t number,
                           uint32_t index,
                           bool is_repeat,
                           TimePoint now) {
  const auto it = tasks_.find(number);
  if (it == tasks_.end()) {
    return;
  }
  Piece& piece = it->second.pieces_[index];
  if (piece.waits_ || !piece.handle_.empty()) {
    return;
  }
  if (it->second.inputs_taken_) {
    // Its inputs are freed: only the call that has them can still make it.
    if (piece.in_calls_ == 0) {
      End(number, StageOutcome::Result::kInputGone);
    }
    return;
  }
  if (piece.tries_ >= kMostTries) {
    if (piece.in_calls_ == 0) {
      End(number, StageOutcome::Result::kFailed);
    }
    return;
  }
  // One repeat a task at a time: its pieces go together again.
  if (is_repeat && now >= it->second.repeat_paid_until_) {
    if (!may_repeat_(now)) {
      parked_.emplace(number, index);
      return;
    }
    it->second.repeat_paid_until_ = now + kRepeatTogether;
  }
  SetWaiting(&it->second, &piece, true);
}

void StageBatcher::HandBackWaiting() {
  std::vector<uint64_t> unsent;
  for (const auto& [number, task] : tasks_) {
    if (HasNotRun(task)) {
      unsent.push_back(number);
    }
  }
  for (const uint64_t number : unsent) {
    End(number, StageOutcome::Result::kMoved);
  }
}

void StageBatcher::Failed(uint64_t number, CallFailure failure, TimePoint now) {
  const auto it = calls_.find(number);
  if (it == calls_.end()) {
    return;
  }
  const Call call = std::move(it->second);
  calls_.erase(it);
  if (Server* server = ReleaseCall(number, call, now)) {
    if (failure == CallFailure::kRefused) {
      server->suspended_until_ = now + kRefusedPause;
      server->may_be_busy_ = true;
    } else {
      Suspend(server, now);
    }
    if (failure == CallFailure::kLost) {
      TakeRoom(server, call.reserved_bytes_, now + spec_.result_life_);
    }
  }
  for (const auto& [task, piece] : call.pieces_) {
    if (const auto owner = tasks_.find(task); owner != tasks_.end()) {
      --owner->second.pieces_[piece].in_calls_;
      owner->second.may_have_run_ |= failure == CallFailure::kLost;
      if (failure == CallFailure::kNotSent) {
        // Nobody saw it: this was no try.
        --owner->second.pieces_[piece].tries_;
      }
      Requeue(task, piece, failure != CallFailure::kNotSent, now);
    }
  }
}

void StageBatcher::Suspend(Server* server, TimePoint now) {
  const int doublings = std::min(server->failures_in_row_, kMostDoublings);
  server->suspended_until_ = now + kFirstSuspension * (1 << doublings);
  ++server->failures_in_row_;
}

// Calls that no server has seen, or that it refused, ran nothing.
bool StageBatcher::HasNotRun(const Task& task) {
  return !task.may_have_run_ &&
         std::all_of(task.pieces_.begin(), task.pieces_.end(),
                     [](const Piece& piece) { return piece.in_calls_ == 0; });
}

void StageBatcher::End(uint64_t number, StageOutcome::Result result) {
  const auto it = tasks_.find(number);
  if (it == tasks_.end()) {
    return;
  }
  StageOutcome outcome;
  outcome.task_ = number;
  outcome.result_ = result;
  outcome.not_run_ = HasNotRun(it->second);
  if (result == StageOutcome::Result::kDone) {
    for (Piece& piece : it->second.pieces_) {
      outcome.handles_.push_back(std::move(piece.handle_));
      piece.handle_.clear();
    }
  }
  outcomes_.push_back(std::move(outcome));
  Cancel(number);
}

std::vector<StageOutcome> StageBatcher::TakeOutcomes() {
  return std::exchange(outcomes_, {});
}

std::map<std::string, std::vector<std::string>> StageBatcher::TakeUnwanted() {
  return std::exchange(unwanted_, {});
}

void StageBatcher::Free(absl::Span<const std::string> handles) {
  for (const std::string& handle : handles) {
    Discard(handle);
  }
}

void StageBatcher::Discard(const std::string& handle) {
  unwanted_[std::string(MakerAddress(handle))].push_back(handle);
  const auto keeper = keepers_.find(handle);
  if (keeper == keepers_.end()) {
    return;
  }
  if (const auto server = servers_.find(keeper->second);
      server != servers_.end()) {
    const auto result = server->second.results_.find(handle);
    if (result != server->second.results_.end()) {
      server->second.held_bytes_ -= result->second.bytes_;
      server->second.results_.erase(result);
    }
  }
  keepers_.erase(keeper);
}

}  // namespace citronlane
