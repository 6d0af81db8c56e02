#ifndef CITRONLANE_ADMISSION_ADMISSION_CONTROLLER_H_
#define CITRONLANE_ADMISSION_ADMISSION_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "citronlane/admission/admission_options.h"
#include "citronlane/admission/admission_query.h"
#include "citronlane/admission/refusal.h"
#include "citronlane/base/time.h"

namespace citronlane {

struct ClusterConfig;

/// Decides at once whether a request is taken: refuses what can not meet its
/// deadline, keeps client accounts to fair shares by cost used, lets batch
/// yield, and holds spend. Pure. Not thread safe.
class AdmissionController {
 public:
  /// Returns a number below its argument, which is at least 1.
  using RandomHook = std::function<uint64_t(uint64_t)>;

  AdmissionController(const ClusterConfig& config,
                      const AdmissionOptions& options,
                      RandomHook random);
  ~AdmissionController();
  AdmissionController(const AdmissionController&) = delete;
  AdmissionController& operator=(const AdmissionController&) = delete;

  /// Takes a new version of the configuration; what was learned stays.
  void Update(const ClusterConfig& config, TimePoint now);

  /// Returns why the request is refused, or nothing when it is admitted. Each
  /// admitted request is followed by exactly one OnFinish.
  std::optional<Refusal> Admit(TimePoint now, const AdmissionQuery& query);

  /// The admitted request is over, at the cost it really had.
  void OnFinish(TimePoint now,
                const AdmissionQuery& query,
                double cost,
                bool met_target);

  /// A lease from control: this gateway may spend `amount` for the class until
  /// `valid_until`; after that a safe floor holds.
  void OnSpendShare(std::string_view class_name,
                    double amount,
                    TimePoint valid_until);

  /// Whether the class's share of spend runs low, so that cheaper choices are
  /// made before requests are refused: no hedges.
  bool SpendIsTight(TimePoint now, std::string_view class_name) const;

  /// How near the pool is to where targets are missed: 0 idle, 1 at the limit.
  double Pressure(TimePoint now, std::string_view pool) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ADMISSION_ADMISSION_CONTROLLER_H_
