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

void PlacedEngine::Begin(const Service* service) {
  service_ = service;
  const bool has_engines = service->engine_.has_value();
  is_here_ = has_engines && placement_->IsHere(service->name_);
  is_elsewhere_ = has_engines && !is_here_;
}

std::string PlacedEngine::Ask(EnginePlacement::Purpose purpose,
                              const EngineRouter::Call& call,
                              absl::Span<const std::string> excluded) {
  const auto answer = std::make_shared<std::optional<std::string>>();
  question_ =
      placement_->Ask(purpose, service_->name_, call, excluded,
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
