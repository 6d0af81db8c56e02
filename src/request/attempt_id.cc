#include "citronlane/request/attempt_id.h"

namespace citronlane {

std::string AttemptId::ToHeader() const {
  return request_ + "/" + std::to_string(stage_) + "/" +
         std::to_string(attempt_);
}

bool AttemptId::operator==(const AttemptId& other) const {
  return request_ == other.request_ && stage_ == other.stage_ &&
         attempt_ == other.attempt_;
}

}  // namespace citronlane
