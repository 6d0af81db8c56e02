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

/// Decides whether a new request is admitted or refused. Refuses requests that
/// are not expected to meet their deadline or target, client accounts over
/// their fair share of a contended pool, batch work while interactive work
/// needs the pool, and requests over the spend limit of their class. It queues
/// nothing and chooses no servers. Time is passed in and must not decrease. Not
/// thread safe.
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

  /// Applies a new version of the configuration. Learned margins, the accounts'
  /// use, and the spend of classes that still have an hourly limit are kept.
  void Update(const ClusterConfig& config, TimePoint now);

  /// Returns why the request is refused, or nullopt when it is admitted. Each
  /// admitted request must be followed by exactly one OnFinish.
  std::optional<Refusal> Admit(TimePoint now, const AdmissionQuery& query);

  /// End of an admitted request. `query` is the one given to Admit, `cost` the
  /// actual cost in micro-units.
  void OnFinish(TimePoint now,
                const AdmissionQuery& query,
                double cost,
                bool met_target);

  /// A spend lease from the control VMs: this gateway may spend `amount` (in
  /// micro-units) for the class until `valid_until`, after that only at a low
  /// rate that is safe without a lease. Ignored for a class without an hourly
  /// limit. Takes effect at the time of the last call of Update, Admit or
  /// OnFinish.
  void OnSpendShare(std::string_view class_name,
                    double amount,
                    TimePoint valid_until);

  /// Whether little of the class's spend lease is left, or it has none, so that
  /// hedges are avoided before requests have to be refused. False for a class
  /// without an hourly limit.
  bool SpendIsTight(TimePoint now, std::string_view class_name) const;

  /// How close the pool is to missing targets: 0 is idle, 1 is the limit, and
  /// it may be more. 0 for an unknown pool.
  double Pressure(TimePoint now, std::string_view pool) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ADMISSION_ADMISSION_CONTROLLER_H_
