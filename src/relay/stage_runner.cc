#include "citronlane/relay/stage_runner.h"

#include <algorithm>
#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/relay/detail/stage_runner_events.h"
#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/relay_job.h"
#include "citronlane/relay/stage_owners.h"
#include "citronlane/relay/waker.h"
#include "citronlane/serving/result_handle.h"
#include "citronlane/stages/stage_task.h"

namespace citronlane {
namespace {

/// For fewer bytes than this a server that is free now is preferred to a near
/// one.
constexpr uint64_t kMinNearBytes = uint64_t{256} << 10;

std::string LargestOf(const std::map<std::string, uint64_t>& bytes) {
  const auto largest = std::max_element(
      bytes.begin(), bytes.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return largest == bytes.end() ? std::string() : largest->first;
}

}  // namespace

StageRunner::StageRunner(const RelayJob* job,
                         const FleetView* view,
                         StageOwners* owners,
                         std::shared_ptr<Waker> waker)
    : job_(job), view_(view), owners_(owners), waker_(std::move(waker)) {
  was_sent_.assign(job_->route_->stages_.size(), job_->were_stages_sent_);
  was_counted_.assign(job_->route_->stages_.size(), job_->was_counted_);
  Reset();
}

StageRunner::~StageRunner() {
  FreeAll();
}

void StageRunner::Reset() {
  events_ = std::make_shared<Events>();
  failure_.reset();
  const auto& counts = job_->head_.stage_pieces_;
  stages_.assign(job_->route_->stages_.size(), Stage());
  for (size_t i = 0; i < stages_.size(); ++i) {
    stages_[i].pieces_ = i < counts.size() ? counts[i] : 0;
    stages_[i].is_done_ = stages_[i].pieces_ == 0;
  }
}

bool StageRunner::HasWork() const {
  return std::any_of(stages_.begin(), stages_.end(),
                     [](const Stage& stage) { return stage.pieces_ > 0; });
}

StageRunner::Result StageRunner::Run(const std::function<bool()>& is_needless) {
  if (std::exchange(has_run_, true)) {
    FreeAll();
    Reset();
  }
  Result result = RunOnce(is_needless);
  CancelPending();
  // A server lost or expired results: if time allows, they are made once more.
  if (result == Result::kFailed &&
      failure_ == StageOutcome::Result::kInputGone && HasTimeToRerun()) {
    FreeAll();
    Reset();
    result = RunOnce(is_needless);
    CancelPending();
  }
  return result;
}

// The outcome of a stage in progress is not awaited: it counts as having run
// unless nothing of it was sent.
void StageRunner::CancelPending() {
  for (size_t i = 0; i < stages_.size(); ++i) {
    Stage& stage = stages_[i];
    if (stage.job_) {
      const bool not_run = owners_->Cancel(*stage.job_);
      not_run_ = not_run_ && not_run;
      was_sent_[i] = was_sent_[i] || stage.is_submitted_;
      stage.job_.reset();
    }
  }
}

StageRunner::Result StageRunner::RunOnce(
    const std::function<bool()>& is_needless) {
  StartReady();
  while (!AllDone()) {
    const bool has_event = waker_->WaitUntil(
        [this, &is_needless] {
          return !events_->outcomes_.empty() ||
                 !events_->inputs_taken_.empty() || is_needless();
        },
        job_->begin_deadline_);
    if (waker_->caller_gone()) {
      return Result::kCallerGone;
    }
    if (is_needless()) {
      return Result::kInterrupted;
    }
    if (!has_event) {
      return Result::kLate;
    }
    TakeEvents();
    if (failure_) {
      return *failure_ == StageOutcome::Result::kLate ? Result::kLate
                                                      : Result::kFailed;
    }
    FreeUnneeded();
    StartReady();
  }
  return Result::kDone;
}

void StageRunner::StartReady() {
  for (size_t i = 0; i < stages_.size(); ++i) {
    if (!stages_[i].is_done_ && !stages_[i].is_submitted_ && IsReady(i)) {
      Start(i);
    }
  }
}

bool StageRunner::IsReady(size_t index) const {
  const auto& after = job_->route_->stages_[index].after_;
  return std::all_of(after.begin(), after.end(), [this](uint32_t before) {
    return stages_[before].is_done_;
  });
}

void StageRunner::Start(size_t index) {
  const RouteStage& declared = job_->route_->stages_[index];
  StageTask task;
  task.request_id_ = job_->head_.request_id_;
  task.stage_ = static_cast<uint32_t>(index);
  task.pieces_ = stages_[index].pieces_;
  task.key_ = job_->head_.stage_key_;
  task.was_sent_ = was_sent_[index];
  task.was_counted_ = was_counted_[index];
  was_counted_[index] = true;
  task.has_inputs_ = !declared.after_.empty();
  for (const uint32_t before : declared.after_) {
    const auto& handles = stages_[before].handles_;
    task.inputs_.insert(task.inputs_.end(), handles.begin(), handles.end());
    task.inputs_until_ = std::min(task.inputs_until_, ExpiryOf(before));
  }
  const StageForecast forecast = ForecastOf(index);
  task.target_ = forecast.target_;
  task.deadline_ = forecast.deadline_;
  task.priority_ = forecast.priority_;
  task.result_bytes_ = declared.result_bytes_;
  task.near_domain_ = NearDomainOf(index);
  const std::weak_ptr<Events> weak = events_;
  const auto waker = waker_;
  if (!stages_[index].job_) {
    Announce(index);
  }
  stages_[index].is_submitted_ = true;
  owners_->Submit(
      *stages_[index].job_, std::move(task),
      [weak, waker, index](const StageOutcome& outcome) {
        if (const auto events = weak.lock()) {
          events->outcomes_.emplace_back(index, outcome);
          waker->Wake();
        }
      },
      [weak, waker, index] {
        if (const auto events = weak.lock()) {
          events->inputs_taken_.push_back(index);
          waker->Wake();
        }
      });
}

// The domain that holds most of the bytes that each piece fetches. A stage
// without inputs is best run where its results will be used.
std::string StageRunner::NearDomainOf(size_t index) const {
  const auto& after = job_->route_->stages_[index].after_;
  if (after.empty()) {
    return HasDependents(index) ? std::string() : result_domain_;
  }
  std::map<std::string, uint64_t> bytes;
  for (const uint32_t before : after) {
    AddBytes(before, &bytes);
  }
  // Every piece fetches the results of all these stages.
  uint64_t fetched = 0;
  for (const auto& [domain, size] : bytes) {
    fetched += size * stages_[index].pieces_;
  }
  return fetched < kMinNearBytes ? std::string() : LargestOf(bytes);
}

void StageRunner::AddBytes(size_t index,
                           std::map<std::string, uint64_t>* bytes) const {
  for (const std::string& handle : stages_[index].handles_) {
    (*bytes)[view_->DomainAt(ProducerAddress(handle))] +=
        job_->route_->stages_[index].result_bytes_;
  }
}

std::string StageRunner::InputDomain() const {
  std::map<std::string, uint64_t> bytes;
  for (size_t i = 0; i < stages_.size(); ++i) {
    if (!HasDependents(i)) {
      AddBytes(i, &bytes);
    }
  }
  return LargestOf(bytes);
}

void StageRunner::TakeEvents() {
  for (const size_t index : std::exchange(events_->inputs_taken_, {})) {
    stages_[index].has_inputs_ = true;
  }
  for (auto& [index, outcome] : std::exchange(events_->outcomes_, {})) {
    Stage& stage = stages_[index];
    stage.job_.reset();
    not_run_ = not_run_ && outcome.not_run_;
    was_sent_[index] = was_sent_[index] || !outcome.not_sent_;
    if (outcome.result_ != StageOutcome::Result::kDone) {
      failure_ = outcome.result_;
      continue;
    }
    stage.is_done_ = true;
    stage.done_at_ = SteadyNow();
    stage.handles_ = std::move(outcome.handles_);
  }
}

// Frees the results of stages whose dependents are done or have fetched them.
void StageRunner::FreeUnneeded() {
  for (size_t i = 0; i < stages_.size(); ++i) {
    if (!stages_[i].is_done_ || !HasDependents(i)) {
      continue;
    }
    bool is_needed = false;
    for (size_t j = 0; j < stages_.size(); ++j) {
      const auto& after = job_->route_->stages_[j].after_;
      is_needed = is_needed ||
                  (!stages_[j].is_done_ && !stages_[j].has_inputs_ &&
                   std::find(after.begin(), after.end(), i) != after.end());
    }
    if (!is_needed) {
      FreeStage(i);
    }
  }
}

void StageRunner::FreeStage(size_t index) {
  Stage& stage = stages_[index];
  if (!stage.is_freed_ && !stage.handles_.empty()) {
    stage.is_freed_ = true;
    owners_->Free(job_->route_->stages_[index].service_, stage.handles_);
  }
}

void StageRunner::FreeAll() {
  CancelPending();
  for (size_t i = 0; i < stages_.size(); ++i) {
    FreeStage(i);
  }
}

bool StageRunner::HasDependents(size_t index) const {
  for (size_t i = 0; i < stages_.size(); ++i) {
    const auto& after = job_->route_->stages_[i].after_;
    if (stages_[i].pieces_ > 0 &&
        std::find(after.begin(), after.end(), index) != after.end()) {
      return true;
    }
  }
  return false;
}

bool StageRunner::was_sent() const {
  return std::find(was_sent_.begin(), was_sent_.end(), true) != was_sent_.end();
}

bool StageRunner::AllDone() const {
  return std::all_of(stages_.begin(), stages_.end(),
                     [](const Stage& stage) { return stage.is_done_; });
}

std::string_view StageRunner::failure() const {
  return failure_ == StageOutcome::Result::kInputGone ? "stage input gone"
                                                      : "stage failed";
}

std::vector<std::string> StageRunner::Inputs() const {
  std::vector<std::string> inputs;
  for (size_t i = 0; i < stages_.size(); ++i) {
    if (!HasDependents(i)) {
      inputs.insert(inputs.end(), stages_[i].handles_.begin(),
                    stages_[i].handles_.end());
    }
  }
  return inputs;
}

bool StageRunner::HasLargeResults() const {
  uint64_t bytes = 0;
  for (size_t i = 0; i < stages_.size(); ++i) {
    if (!HasDependents(i)) {
      bytes += stages_[i].pieces_ * job_->route_->stages_[i].result_bytes_;
    }
  }
  return bytes >= kMinNearBytes;
}

uint64_t StageRunner::InputBytes() const {
  uint64_t bytes = 0;
  for (size_t i = 0; i < stages_.size(); ++i) {
    if (!HasDependents(i)) {
      bytes +=
          stages_[i].handles_.size() * job_->route_->stages_[i].result_bytes_;
    }
  }
  return bytes;
}

}  // namespace citronlane
