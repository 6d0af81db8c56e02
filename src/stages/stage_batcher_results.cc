#include <algorithm>
#include <cmath>
#include <utility>

#include "citronlane/serving/result_handle.h"
#include "citronlane/stages/stage_batcher.h"

namespace citronlane {
namespace {

/// Avoids a division by zero.
constexpr double kMinSlowFactor = 0.05;
/// A piece that was sent this often is not sent again.
constexpr uint32_t kMaxAttempts = 4;
/// Weight of the newest call in a server's slow factor.
constexpr double kServerSampleWeight = 0.3;
/// Weight of the newest call in the pool's average time, which then covers a
/// second or two of calls.
constexpr double kPoolSampleWeight = 0.05;
/// After a failure a server gets no call for this long; the time doubles with
/// each consecutive failure.
constexpr Duration kInitialSuspension = std::chrono::milliseconds(300);
constexpr int kMaxSuspensionDoublings = 4;
/// A server that refuses a call gets none for this long: it runs calls of
/// another gateway.
constexpr Duration kRefusalPause = std::chrono::milliseconds(60);
/// If a server is out of capacity though it should not be, it holds results of
/// another gateway, or some about to be deleted, and the piece's size counts as
/// occupied for this long.
constexpr Duration kUnknownResultTime = std::chrono::milliseconds(500);

}  // namespace

// Ends the call at its server; returns null when the server is not listed.
StageBatcher::Server* StageBatcher::ReleaseCall(uint64_t number,
                                                const Call& call,
                                                TimePoint now) {
  const auto found = servers_.find(call.server_);
  if (found == servers_.end()) {
    return nullptr;
  }
  Server& server = found->second;
  // A server that was absent from the list has restarted its counts.
  server.reserved_bytes_ -=
      std::min(server.reserved_bytes_, call.reserved_bytes_);
  if (!call.hedged_ && server.calls_ > 0) {
    --server.calls_;
  }
  if (server.calls_ == 0) {
    server.free_at_ = now;
  }
  StartQueuedCall(&server, number, now);
  return &server;
}

// The call ended or was hedged: the server runs the one queued behind it.
void StageBatcher::StartQueuedCall(Server* server,
                                   uint64_t number,
                                   TimePoint now) {
  if (server->queued_call_ == number) {
    server->queued_call_ = 0;
  } else if (server->queued_call_ != 0) {
    MarkQueuedCallStarted(server, now);
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
    server->consecutive_failures_ = 0;
    server->may_be_busy_ = false;
    const auto elapsed = static_cast<double>((now - call.started_).count());
    const double declared = static_cast<double>(call.expected_.count()) /
                            std::max(call.slow_factor_, kMinSlowFactor);
    if (declared > 0) {
      server->slow_factor_ +=
          kServerSampleWeight * (elapsed / declared - server->slow_factor_);
    }
  }
  if (!call.hedged_) {
    average_call_time_ += std::chrono::duration_cast<Duration>(
        kPoolSampleWeight * (now - call.started_ - average_call_time_));
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
    RecordHeldResult(server, result.handle_, bytes, now);
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
    case Outcome::kOutOfCapacity:
      if (server != nullptr) {
        OnOutOfCapacity(server, bytes, now);
      }
      Requeue(number, index);
      return;
    case Outcome::kFailed:
      Requeue(number, index);
      return;
  }
}

void StageBatcher::RecordHeldResult(Server* server,
                                    const std::string& handle,
                                    uint64_t bytes,
                                    TimePoint now) {
  server->results_[handle] = Result{bytes, now + spec_.result_lifetime_};
  server->held_bytes_ += bytes;
  holders_[handle] = server->id_;
}

// Counts capacity as occupied by results whose handles are unknown.
void StageBatcher::OccupyCapacity(Server* server,
                                  uint64_t bytes,
                                  TimePoint until) {
  server->results_["unnamed " + std::to_string(++last_number_)] =
      Result{bytes, until};
  server->held_bytes_ += bytes;
}

// A piece was dropped because the server is out of capacity. Results of calls
// in flight when the previous owner was killed are known to no gateway, and
// occupy capacity until they expire; such calls can fill about half of it.
void StageBatcher::OnOutOfCapacity(Server* server,
                                   uint64_t bytes,
                                   TimePoint now) {
  server->suspended_until_ = now + kRefusalPause;
  const bool may_be_left =
      taken_over_ && now - *taken_over_ < spec_.result_lifetime_;
  if (may_be_left && !server->has_reserved_for_previous_owner_) {
    server->has_reserved_for_previous_owner_ = true;
    OccupyCapacity(server, spec_.result_capacity_bytes_ / 2,
                   *taken_over_ + spec_.result_lifetime_);
  } else if (!may_be_left) {
    OccupyCapacity(server, bytes, now + kUnknownResultTime);
  }
}

void StageBatcher::Requeue(uint64_t number, uint32_t index) {
  const auto it = tasks_.find(number);
  if (it == tasks_.end()) {
    return;
  }
  Piece& piece = it->second.pieces_[index];
  if (piece.is_waiting_ || !piece.handle_.empty()) {
    return;
  }
  if (it->second.inputs_taken_) {
    // Its inputs were released: only a call that fetched them can still run it.
    if (piece.in_calls_ == 0) {
      End(number, StageOutcome::Result::kInputGone);
    }
    return;
  }
  if (piece.attempts_ >= kMaxAttempts) {
    if (piece.in_calls_ == 0) {
      End(number, StageOutcome::Result::kFailed);
    }
    return;
  }
  SetWaiting(&it->second, &piece, true);
}

void StageBatcher::ReturnUnsentTasks() {
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
      server->suspended_until_ = now + kRefusalPause;
      server->may_be_busy_ = true;
    } else {
      Suspend(server, now);
    }
    if (failure == CallFailure::kLost) {
      OccupyCapacity(server, call.reserved_bytes_,
                     now + spec_.result_lifetime_);
    }
  }
  for (const auto& [task, piece] : call.pieces_) {
    if (const auto found = tasks_.find(task); found != tasks_.end()) {
      --found->second.pieces_[piece].in_calls_;
      found->second.may_have_run_ |= failure == CallFailure::kLost;
      if (failure == CallFailure::kNotSent) {
        // It reached no server, so it is not an attempt.
        --found->second.pieces_[piece].attempts_;
      }
      Requeue(task, piece);
    }
  }
}

void StageBatcher::Suspend(Server* server, TimePoint now) {
  const int doublings =
      std::min(server->consecutive_failures_, kMaxSuspensionDoublings);
  server->suspended_until_ = now + kInitialSuspension * (1 << doublings);
  ++server->consecutive_failures_;
}

// Calls that were not sent or that the server refused have run nothing.
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
  outcome.not_sent_ =
      std::all_of(it->second.pieces_.begin(), it->second.pieces_.end(),
                  [](const Piece& piece) { return piece.attempts_ == 0; });
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

std::map<std::string, std::vector<std::string>>
StageBatcher::TakeDiscardedResults() {
  return std::exchange(discarded_, {});
}

void StageBatcher::Free(absl::Span<const std::string> handles) {
  for (const std::string& handle : handles) {
    Discard(handle);
  }
}

void StageBatcher::Discard(const std::string& handle) {
  discarded_[std::string(ProducerAddress(handle))].push_back(handle);
  const auto holder = holders_.find(handle);
  if (holder == holders_.end()) {
    return;
  }
  if (const auto server = servers_.find(holder->second);
      server != servers_.end()) {
    const auto result = server->second.results_.find(handle);
    if (result != server->second.results_.end()) {
      server->second.held_bytes_ -= result->second.bytes_;
      server->second.results_.erase(result);
    }
  }
  holders_.erase(holder);
}

}  // namespace citronlane
