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

/// Wraps the gateway's AdmissionController in a lock. The controller is created
/// by the first configuration; until then every request is refused with
/// kNoConfiguration. Thread safe.
class AdmissionGate {
 public:
  explicit AdmissionGate(AdmissionOptions options);

  /// Applies the limits of `config`.
  void Update(const ClusterConfig& config, TimePoint now);
  /// Returns nothing if the request is admitted; then call OnFinish once.
  /// Otherwise returns the refusal.
  std::optional<Refusal> Admit(TimePoint now, const AdmissionQuery& query);
  /// Releases what an admitted request held and charges its actual `cost`, in
  /// micro-units. Precondition: Admit admitted the query.
  void OnFinish(TimePoint now,
                const AdmissionQuery& query,
                double cost,
                bool met_target);
  /// Sets the amount, in micro-units, that this gateway may spend for the class
  /// until `valid_until`. Ignored before the first configuration.
  void OnSpendShare(std::string_view class_name,
                    double amount,
                    TimePoint valid_until);

  /// Whether the class is close to its spend limit, so that hedges should be
  /// avoided. False before the first configuration.
  bool SpendIsTight(TimePoint now, std::string_view class_name);

 private:
  const AdmissionOptions options_;
  std::mutex mutex_;
  std::mt19937_64 random_;
  std::unique_ptr<AdmissionController> controller_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_ADMISSION_GATE_H_
