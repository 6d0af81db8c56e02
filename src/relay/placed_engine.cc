#include "citronlane/relay/placed_engine.h"

#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/base/time.h"
#include "citronlane/relay/waker.h"
#include "citronlane/serving/service.h"

namespace citronlane {
namespace {

/// A placement owner replies within a few milliseconds.
constexpr Duration kPlacementTimeout = std::chrono::milliseconds(25);

}  // namespace

PlacedEngine::PlacedEngine(EnginePlacement* placement,
                           std::shared_ptr<Waker> waker)
    : placement_(placement), waker_(std::move(waker)) {}

PlacedEngine::~PlacedEngine() {
  Cancel();
}

void PlacedEngine::Begin(const Service& service,
                         const std::string& failure_domain) {
  is_placed_here_ = false;
  is_placed_elsewhere_ = false;
  if (!service.engine_) {
    return;
  }
  const auto partition = placement_->PartitionIn(service.name_, failure_domain);
  if (partition) {
    partition_ = *partition;
    is_placed_here_ = placement_->IsPlacementOwner(partition_);
    is_placed_elsewhere_ = !is_placed_here_;
  }
}

std::string PlacedEngine::RequestEngine(EnginePlacement::Purpose purpose,
                                        const EngineRouter::Call& call,
                                        absl::Span<const std::string> excluded,
                                        std::string_view reserved) {
  const auto answer = std::make_shared<std::optional<std::string>>();
  question_ = placement_->RequestEngine(
      purpose, partition_, call, excluded,
      [answer, waker = waker_](const std::string& server) {
        *answer = server;
        waker->Wake();
      },
      reserved);
  waker_->WaitUntil([&answer] { return answer->has_value(); },
                    SteadyNow() + kPlacementTimeout);
  if (!*answer && !waker_->caller_gone()) {
    placement_->ReportNoReply(*question_);
  }
  return answer->value_or(std::string());
}

void PlacedEngine::Cancel() {
  NoteEnd(CallOutcome::kCancelled, EngineOutput());
}

void PlacedEngine::NoteFirstEvent(Duration after) {
  if (question_) {
    placement_->ReportFirstEvent(*question_, after);
  }
}

void PlacedEngine::NoteEnd(CallOutcome outcome, const EngineOutput& output) {
  if (question_) {
    placement_->ReportFinished(*question_, outcome, output);
    question_.reset();
  }
}

}  // namespace citronlane
