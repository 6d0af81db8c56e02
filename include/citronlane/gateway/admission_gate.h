#ifndef CITRONLANE_GATEWAY_ADMISSION_GATE_H_
#define CITRONLANE_GATEWAY_ADMISSION_GATE_H_

#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string_view>

#include "citronlane/admission/admission_controller.h"
#include "citronlane/admission/admission_options.h"
#include "citronlane/admission/admission_query.h"
#include "citronlane/admission/refusal.h"
#include "citronlane/base/time.h"

namespace citronlane {

struct ClusterConfig;

/// The gateway's AdmissionController under its own lock, from the first
/// configuration on. Before that it admits nothing. Thread safe.
class AdmissionGate {
 public:
  explicit AdmissionGate(AdmissionOptions options);

  void Update(const ClusterConfig& config, TimePoint now);
  std::optional<Refusal> Admit(TimePoint now, const AdmissionQuery& query);
  void OnFinish(TimePoint now,
                const AdmissionQuery& query,
                double cost,
                bool met_target);
  void OnSpendShare(std::string_view class_name,
                    double amount,
                    TimePoint valid_until);

  /// Whether the class should make cheaper choices: no hedges.
  bool SpendIsTight(TimePoint now, std::string_view class_name);

 private:
  const AdmissionOptions options_;
  std::mutex mutex_;
  std::mt19937_64 random_;
  std::unique_ptr<AdmissionController> controller_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_ADMISSION_GATE_H_
