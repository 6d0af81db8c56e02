#include "citronlane/admission/admission_controller.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "citronlane/admission/detail/account_shares.h"
#include "citronlane/admission/detail/pool_pressure.h"
#include "citronlane/admission/detail/retry_after.h"
#include "citronlane/admission/detail/spend_share.h"
#include "citronlane/admission/detail/target_margin.h"
#include "citronlane/config/cluster_config.h"

namespace citronlane {
namespace {

/// Batch work yields above this pressure of interactive work.
constexpr double kBatchPressure = 0.3;
/// Accounts over their share are refused above a pressure that falls from 1 at
/// the share to this value at twice the share.
constexpr double kMinFairSharePressure = 0.3;
/// Spend is tight when a smaller fraction of the lease is left.
constexpr double kTightSpendFraction = 0.2;
constexpr double kUsPerMs = 1000;
constexpr double kSecondsPerHour = 3600;
/// One request in this many is admitted though a pool is down.
constexpr uint64_t kPoolProbeInterval = 3;
constexpr Duration kPoolRetryTime = std::chrono::seconds(2);
constexpr Duration kBatchRetryTime = std::chrono::seconds(5);

double ToMs(Duration duration) {
  return static_cast<double>(duration.count()) / kUsPerMs;
}

double Ratio(Duration dividend, Duration divisor) {
  return static_cast<double>(dividend.count()) /
         std::max(1.0, static_cast<double>(divisor.count()));
}

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

/// Whether the request was refused because a pool lacks capacity.
bool IsCapacityRefusal(RefusalReason reason) {
  return reason == RefusalReason::kDeadlineUnreachable ||
         reason == RefusalReason::kFairShare;
}

/// An estimate and its target; of a request, the pair that is closest to a
/// miss.
struct BindingTarget {
  Duration expected_{};
  Duration target_{};
};

std::optional<BindingTarget> FindBinding(const AdmissionQuery& query) {
  std::optional<BindingTarget> binding;
  if (query.expected_finish_) {
    binding = {*query.expected_finish_, query.target_};
  }
  if (query.expected_first_token_ && query.first_token_target_) {
    const BindingTarget first = {*query.expected_first_token_,
                                 *query.first_token_target_};
    if (!binding || Ratio(first.expected_, first.target_) >
                        Ratio(binding->expected_, binding->target_)) {
      binding = first;
    }
  }
  return binding;
}

}  // namespace

class AdmissionController::Impl {
 public:
  Impl(const AdmissionOptions& options, RandomHook random)
      : options_(options), random_(random), retry_after_(std::move(random)) {}

  void Update(const ClusterConfig& config, TimePoint now);
  std::optional<Refusal> Check(TimePoint now, const AdmissionQuery& query);
  void Commit(TimePoint now, const AdmissionQuery& query);

  TargetMargin& FindOrAddMargin(const std::string& class_name);
  SpendShare* FindSpend(std::string_view class_name);
  PoolPressure& FindOrAddPool(std::string_view pool);

  const AdmissionOptions options_;
  const RandomHook random_;
  std::map<std::string, ClassConfig> classes_;
  std::map<std::string, TargetMargin, std::less<>> margins_;
  std::map<std::string, SpendShare, std::less<>> spend_;
  std::map<std::string, PoolPressure, std::less<>> pools_;
  AccountShares shares_;
  RetryAfter retry_after_;
  TimePoint last_event_{};

 private:
  std::optional<Refusal> CheckSpendPerRequest(const AdmissionQuery& query);
  std::optional<Refusal> CheckPoolDown(TimePoint now,
                                       const AdmissionQuery& query);
  std::optional<Refusal> CheckDeadline(TimePoint now,
                                       const AdmissionQuery& query);
  std::optional<Refusal> CheckTarget(TimePoint now,
                                     const AdmissionQuery& query);
  std::optional<Refusal> CheckBatch(TimePoint now, const AdmissionQuery& query);
  std::optional<Refusal> CheckFairShare(TimePoint now,
                                        const AdmissionQuery& query);
  std::optional<Refusal> CheckSpendPerHour(TimePoint now,
                                           const AdmissionQuery& query);
  Refusal Refuse(TimePoint now,
                 RefusalReason reason,
                 Duration change,
                 std::map<std::string, double> figures);
};

void AdmissionController::Impl::Update(const ClusterConfig& config,
                                       TimePoint now) {
  classes_ = config.classes_;
  for (const auto& [name, class_config] : classes_) {
    FindOrAddMargin(name).set_attainment(class_config.attainment_);
    if (!class_config.spend_per_hour_) {
      spend_.erase(name);
      continue;
    }
    const double floor = *class_config.spend_per_hour_ / kSecondsPerHour *
                         options_.unleased_spend_fraction_;
    spend_.emplace(name, SpendShare(floor, now));
  }
}

TargetMargin& AdmissionController::Impl::FindOrAddMargin(
    const std::string& class_name) {
  const auto class_config = classes_.find(class_name);
  const double attainment = class_config == classes_.end()
                                ? ClassConfig().attainment_
                                : class_config->second.attainment_;
  return margins_.emplace(class_name, TargetMargin(attainment)).first->second;
}

SpendShare* AdmissionController::Impl::FindSpend(std::string_view class_name) {
  const auto found = spend_.find(class_name);
  return found == spend_.end() ? nullptr : &found->second;
}

PoolPressure& AdmissionController::Impl::FindOrAddPool(std::string_view pool) {
  const auto found = pools_.find(pool);
  if (found != pools_.end()) {
    return found->second;
  }
  return pools_.emplace(std::string(pool), PoolPressure()).first->second;
}

Refusal AdmissionController::Impl::Refuse(
    TimePoint now,
    RefusalReason reason,
    Duration change,
    std::map<std::string, double> figures) {
  return {reason, retry_after_.OnRefuse(now, change), std::move(figures)};
}

std::optional<Refusal> AdmissionController::Impl::CheckSpendPerRequest(
    const AdmissionQuery& query) {
  const auto class_config = classes_.find(query.class_name_);
  if (!options_.spend_limits_ || class_config == classes_.end() ||
      !class_config->second.spend_per_request_ ||
      query.expected_cost_ <= *class_config->second.spend_per_request_) {
    return std::nullopt;
  }
  // A retry would cost as much: no Retry-After.
  return Refusal{
      RefusalReason::kSpendLimit,
      Duration::zero(),
      {{"expected_cost", query.expected_cost_},
       {"spend_per_request", *class_config->second.spend_per_request_}}};
}

std::optional<Refusal> AdmissionController::Impl::CheckPoolDown(
    TimePoint now,
    const AdmissionQuery& query) {
  if (!options_.refuse_pool_down_) {
    return std::nullopt;
  }
  if (query.pool_empty_) {
    return Refuse(now, RefusalReason::kNoBackendServer, kPoolRetryTime,
                  {{"usable_servers", 0}});
  }
  // Some are admitted, so that a recovery of the pool is noticed.
  if (!query.pool_down_ || random_(kPoolProbeInterval) == 0) {
    return std::nullopt;
  }
  return Refuse(now, RefusalReason::kNoBackendServer, kPoolRetryTime,
                {{"probed_one_in", kPoolProbeInterval}});
}

std::optional<Refusal> AdmissionController::Impl::CheckDeadline(
    TimePoint now,
    const AdmissionQuery& query) {
  if (!options_.early_refusal_ || !query.expected_finish_ ||
      *query.expected_finish_ <= query.deadline_) {
    return std::nullopt;
  }
  const Duration over = *query.expected_finish_ - query.deadline_;
  return Refuse(now, RefusalReason::kDeadlineUnreachable, over,
                {{"expected_ms", ToMs(*query.expected_finish_)},
                 {"deadline_ms", ToMs(query.deadline_)}});
}

std::optional<Refusal> AdmissionController::Impl::CheckTarget(
    TimePoint now,
    const AdmissionQuery& query) {
  const auto binding = FindBinding(query);
  if (!binding) {
    return std::nullopt;
  }
  const double margin = FindOrAddMargin(query.class_name_).value();
  const Duration allowed = Scaled(binding->target_, margin);
  PoolPressure& pool = FindOrAddPool(query.bottleneck_pool_);
  if (!query.batch_) {
    pool.RecordEstimate(now, query.class_name_, binding->expected_, allowed);
  }
  if (!options_.early_refusal_ || binding->expected_ <= allowed) {
    return std::nullopt;
  }
  return Refuse(now, RefusalReason::kDeadlineUnreachable,
                binding->expected_ - allowed,
                {{"expected_ms", ToMs(binding->expected_)},
                 {"target_ms", ToMs(binding->target_)},
                 {"margin", margin}});
}

std::optional<Refusal> AdmissionController::Impl::CheckBatch(
    TimePoint now,
    const AdmissionQuery& query) {
  const auto& pool = FindOrAddPool(query.bottleneck_pool_);
  const double pressure = pool.Latest(now);
  if (!options_.batch_yields_ || !query.batch_ ||
      (pressure <= kBatchPressure && !pool.RefusedLately(now))) {
    return std::nullopt;
  }
  return Refuse(now, RefusalReason::kBatchYields, kBatchRetryTime,
                {{"pressure", pressure}, {"limit", kBatchPressure}});
}

std::optional<Refusal> AdmissionController::Impl::CheckFairShare(
    TimePoint now,
    const AdmissionQuery& query) {
  const double pressure = FindOrAddPool(query.bottleneck_pool_).At(now);
  if (!options_.fair_share_ || pressure <= kMinFairSharePressure) {
    return std::nullopt;
  }
  const double overuse = shares_.Overuse(now, query.account_);
  const double allowed = std::max(
      kMinFairSharePressure, 1 - (1 - kMinFairSharePressure) * (overuse - 1));
  if (overuse <= 1 || pressure <= allowed) {
    return std::nullopt;
  }
  return Refuse(now, RefusalReason::kFairShare,
                shares_.TimeToShare(now, query.account_),
                {{"use_over_share", overuse},
                 {"pressure", pressure},
                 {"limit", allowed}});
}

std::optional<Refusal> AdmissionController::Impl::CheckSpendPerHour(
    TimePoint now,
    const AdmissionQuery& query) {
  SpendShare* spend = FindSpend(query.class_name_);
  if (!options_.spend_limits_ || spend == nullptr ||
      spend->TrySpend(now, query.expected_cost_)) {
    return std::nullopt;
  }
  return Refuse(now, RefusalReason::kSpendLimit,
                spend->TimeToCover(now, query.expected_cost_),
                {{"expected_cost", query.expected_cost_},
                 {"spend_left", spend->Available(now)}});
}

std::optional<Refusal> AdmissionController::Impl::Check(
    TimePoint now,
    const AdmissionQuery& query) {
  if (auto refusal = CheckSpendPerRequest(query)) {
    return refusal;
  }
  if (auto refusal = CheckPoolDown(now, query)) {
    return refusal;
  }
  if (auto refusal = CheckDeadline(now, query)) {
    return refusal;
  }
  if (auto refusal = CheckTarget(now, query)) {
    return refusal;
  }
  if (auto refusal = CheckBatch(now, query)) {
    return refusal;
  }
  if (auto refusal = CheckFairShare(now, query)) {
    return refusal;
  }
  // Last, since it takes the cost from the share.
  return CheckSpendPerHour(now, query);
}

void AdmissionController::Impl::Commit(TimePoint now,
                                       const AdmissionQuery& query) {
  retry_after_.OnAdmit(now);
  shares_.Add(now, query.account_, query.expected_cost_);
  shares_.Refresh(now);
}

AdmissionController::AdmissionController(const ClusterConfig& config,
                                         const AdmissionOptions& options,
                                         RandomHook random)
    : impl_(std::make_unique<Impl>(options, std::move(random))) {
  impl_->Update(config, TimePoint());
}

AdmissionController::~AdmissionController() = default;

void AdmissionController::Update(const ClusterConfig& config, TimePoint now) {
  impl_->last_event_ = now;
  impl_->Update(config, now);
}

std::optional<Refusal> AdmissionController::Admit(TimePoint now,
                                                  const AdmissionQuery& query) {
  impl_->last_event_ = now;
  auto refusal = impl_->Check(now, query);
  if (!refusal) {
    impl_->Commit(now, query);
  } else if (!query.batch_ && IsCapacityRefusal(refusal->reason_)) {
    impl_->FindOrAddPool(query.bottleneck_pool_).RecordRefusal(now);
  }
  return refusal;
}

void AdmissionController::OnFinish(TimePoint now,
                                   const AdmissionQuery& query,
                                   double cost,
                                   bool met_target) {
  impl_->last_event_ = now;
  const double difference = cost - query.expected_cost_;
  impl_->shares_.Add(now, query.account_, difference);
  if (SpendShare* spend = impl_->FindSpend(query.class_name_)) {
    spend->Settle(now, difference);
  }
  if (const auto binding = FindBinding(query)) {
    impl_->FindOrAddMargin(query.class_name_)
        .OnFinish(Ratio(binding->expected_, binding->target_), met_target);
  }
}

void AdmissionController::OnSpendShare(std::string_view class_name,
                                       double amount,
                                       TimePoint valid_until) {
  if (SpendShare* spend = impl_->FindSpend(class_name)) {
    spend->Lease(impl_->last_event_, amount, valid_until);
  }
}

bool AdmissionController::SpendIsTight(TimePoint now,
                                       std::string_view class_name) const {
  const SpendShare* spend = impl_->FindSpend(class_name);
  return spend != nullptr && spend->LeaseLeft(now) < kTightSpendFraction;
}

double AdmissionController::Pressure(TimePoint now,
                                     std::string_view pool) const {
  const auto found = impl_->pools_.find(pool);
  return found == impl_->pools_.end() ? 0 : found->second.At(now);
}

}  // namespace citronlane
