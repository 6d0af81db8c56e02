#include "citronlane/relay/placed_engine.h"

#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/base/time.h"
#include "citronlane/relay/waker.h"
#include "citronlane/serving/service.h"

namespace citronlane {
namespace {

/// The gateway that places requests on engines answers within a few
/// milliseconds.
constexpr Duration kPlacementTime = std::chrono::milliseconds(25);

}  // namespace

PlacedEngine::PlacedEngine(EnginePlacement* placement,
                           std::shared_ptr<Waker> waker)
    : placement_(placement), waker_(std::move(waker)) {}

PlacedEngine::~PlacedEngine() {
  Forget();
}

void PlacedEngine::Begin(const Service& service,
                         const std::string& failure_domain) {
  is_here_ = false;
  is_elsewhere_ = false;
  if (!service.engine_) {
    return;
  }
  const auto part = placement_->PartIn(service.name_, failure_domain);
  if (part) {
    part_ = *part;
    is_here_ = placement_->IsHere(part_);
    is_elsewhere_ = !is_here_;
  }
}

std::string PlacedEngine::Ask(EnginePlacement::Purpose purpose,
                              const EngineRouter::Call& call,
                              absl::Span<const std::string> excluded) {
  const auto answer = std::make_shared<std::optional<std::string>>();
  question_ =
      placement_->Ask(purpose, part_, call, excluded,
                      [answer, waker = waker_](const std::string& server) {
                        *answer = server;
                        waker->Wake();
                      });
  waker_->WaitUntil([&answer] { return answer->has_value(); },
                    SteadyNow() + kPlacementTime);
  if (!*answer && !waker_->caller_gone()) {
    placement_->NoAnswer(*question_);
  }
  return answer->value_or(std::string());
}

void PlacedEngine::Forget() {
  NoteEnd(CallOutcome::kCancelled);
}

void PlacedEngine::NoteFirstEvent() {
  if (question_) {
    placement_->FirstEvent(*question_);
  }
}

void PlacedEngine::NoteEnd(CallOutcome outcome) {
  if (question_) {
    placement_->Finished(*question_, outcome);
    question_.reset();
  }
}

}  // namespace citronlane
