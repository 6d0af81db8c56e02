#include "citronlane/gateway/admission_gate.h"

namespace citronlane {

AdmissionGate::AdmissionGate(AdmissionOptions options)
    : options_(options), random_(std::random_device()()) {}

void AdmissionGate::Update(const ClusterConfig& config, TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (controller_ != nullptr) {
    controller_->Update(config, now);
    return;
  }
  controller_ = std::make_unique<AdmissionController>(
      config, options_, [this](uint64_t bound) { return random_() % bound; });
}

std::optional<Refusal> AdmissionGate::Admit(TimePoint now,
                                            const AdmissionQuery& query) {
  const std::lock_guard lock(mutex_);
  if (controller_ == nullptr) {
    return Refusal{RefusalReason::kNoConfiguration, Duration(0), {}};
  }
  return controller_->Admit(now, query);
}

void AdmissionGate::OnFinish(TimePoint now,
                             const AdmissionQuery& query,
                             double cost,
                             bool met_target) {
  const std::lock_guard lock(mutex_);
  controller_->OnFinish(now, query, cost, met_target);
}

void AdmissionGate::OnSpendShare(std::string_view class_name,
                                 double amount,
                                 TimePoint valid_until) {
  const std::lock_guard lock(mutex_);
  if (controller_ != nullptr) {
    controller_->OnSpendShare(class_name, amount, valid_until);
  }
}

bool AdmissionGate::SpendIsTight(TimePoint now, std::string_view class_name) {
  const std::lock_guard lock(mutex_);
  return controller_ != nullptr && controller_->SpendIsTight(now, class_name);
}

}  // namespace citronlane
