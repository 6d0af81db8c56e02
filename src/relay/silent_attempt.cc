#include "citronlane/relay/silent_attempt.h"

#include <utility>

#include "citronlane/relay/server_attempt.h"

namespace citronlane {

SilentAttempt::SilentAttempt(std::unique_ptr<ServerAttempt> attempt,
                             std::string server,
                             EventSplitter events)
    : attempt_(std::move(attempt)),
      server_(std::move(server)),
      events_(std::move(events)),
      had_head_(attempt_->has_head()) {}

SilentAttempt::~SilentAttempt() = default;
SilentAttempt::SilentAttempt(SilentAttempt&& other) noexcept = default;
SilentAttempt& SilentAttempt::operator=(SilentAttempt&& other) noexcept =
    default;

std::unique_ptr<ServerAttempt> SilentAttempt::TakeAttempt() {
  return std::move(attempt_);
}

bool SilentAttempt::HasGoneOn() const {
  const bool has_ended_well =
      attempt_->is_done() && attempt_->outcome() == CallOutcome::kSuccess;
  return attempt_->has_data() || has_ended_well ||
         (attempt_->has_head() && !had_head_);
}

}  // namespace citronlane
