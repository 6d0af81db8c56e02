#include "citronlane/routing/call_priority.h"

#include "citronlane/config/class_config.h"

namespace citronlane {
namespace {

constexpr uint32_t kUrgent = 0;
constexpr uint32_t kNormal = 1;
constexpr uint32_t kBatch = 2;

}  // namespace

uint32_t CallPriority(const ClassConfig& config) {
  if (config.batch_) {
    return kBatch;
  }
  return config.first_token_target_ ? kUrgent : kNormal;
}

}  // namespace citronlane
