#include "citronlane/relay/silent_attempt.h"

#include <utility>

#include "citronlane/relay/server_attempt.h"

namespace citronlane {
namespace {

constexpr int kOk = 200;
constexpr int kFirstNonSuccess = 300;

}  // namespace

SilentAttempt::SilentAttempt(std::unique_ptr<ServerAttempt> attempt,
                             CalledServer called,
                             EventSplitter events)
    : attempt_(std::move(attempt)),
      called_(std::move(called)),
      events_(std::move(events)) {}

SilentAttempt::~SilentAttempt() = default;
SilentAttempt::SilentAttempt(SilentAttempt&& other) noexcept = default;
SilentAttempt& SilentAttempt::operator=(SilentAttempt&& other) noexcept =
    default;

std::unique_ptr<ServerAttempt> SilentAttempt::TakeAttempt() {
  return std::move(attempt_);
}

bool SilentAttempt::HasGoneOn() const {
  return !IsLost() && HasGoodHead() &&
         (attempt_->has_data() || attempt_->is_done());
}

bool SilentAttempt::IsLost() const {
  const bool has_failed =
      attempt_->is_done() && attempt_->outcome() != CallOutcome::kSuccess;
  return has_failed || (attempt_->has_head() && !HasGoodHead());
}

bool SilentAttempt::HasGoodHead() const {
  return attempt_->has_head() && attempt_->status() >= kOk &&
         attempt_->status() < kFirstNonSuccess && attempt_->reply().sealed_ &&
         !attempt_->reply().not_run_;
}

}  // namespace citronlane
