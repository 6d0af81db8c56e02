#include "citronlane/routing/call_priority.h"

#include "citronlane/config/class_config.h"

namespace citronlane {
namespace {

constexpr uint32_t kUrgent = 0;
constexpr uint32_t kUsual = 1;
constexpr uint32_t kBatch = 2;

}  // namespace

uint32_t CallPriority(const ClassConfig& declared) {
  if (declared.batch_) {
    return kBatch;
  }
  return declared.first_token_target_ ? kUrgent : kUsual;
}

}  // namespace citronlane
