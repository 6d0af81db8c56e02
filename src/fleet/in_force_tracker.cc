#include "citronlane/fleet/in_force_tracker.h"

#include <algorithm>

#include "citronlane/fleet/config_lease.h"

namespace citronlane {
namespace {

constexpr size_t kMaxPending = 128;

}  // namespace

InForceTracker::InForceTracker(Duration lease, TimePoint start)
    : lease_(std::chrono::duration_cast<Duration>(
          lease * (1.0 + ConfigLease::kClockRateError))),
      start_(start) {}

void InForceTracker::OnRegistered(std::string_view gateway,
                                  uint64_t incarnation) {
  registered_.emplace(std::string(gateway), incarnation);
}

void InForceTracker::OnRemoved(std::string_view gateway,
                               uint64_t incarnation,
                               TimePoint now) {
  Holder holder(std::string(gateway), incarnation);
  registered_.erase(holder);
  removed_[std::move(holder)] = now + lease_;
}

void InForceTracker::OnCommitted(uint64_t version, TimePoint now) {
  newest_ = std::max(newest_, version);
  Pending& pending = pending_[version];
  pending.leases_end_ = now + lease_;
  pending.silent_ = registered_;
  for (auto holder = removed_.begin(); holder != removed_.end();) {
    if (holder->second <= now) {
      holder = removed_.erase(holder);
    } else {
      pending.silent_.insert(holder->first);
      ++holder;
    }
  }
  if (pending_.size() > kMaxPending) {
    pending_.erase(pending_.begin());
  }
}

void InForceTracker::OnReport(std::string_view gateway,
                              uint64_t incarnation,
                              uint64_t version) {
  const Holder holder(std::string(gateway), incarnation);
  const auto end = pending_.upper_bound(version);
  for (auto pending = pending_.begin(); pending != end; ++pending) {
    pending->second.silent_.erase(holder);
  }
}

InForceStatus InForceTracker::StatusOf(uint64_t version, TimePoint now) const {
  InForceStatus status;
  const auto found = pending_.find(version);
  if (found == pending_.end()) {
    status.in_force_ = version <= newest_ && now >= start_ + lease_;
    status.leases_end_ = start_ + lease_;
    return status;
  }
  const Pending& pending = found->second;
  for (const Holder& holder : pending.silent_) {
    status.silent_.push_back(holder.first);
  }
  status.leases_end_ = pending.leases_end_;
  // Gateways removed before this process started are not known by name.
  const bool all_reported = pending.silent_.empty() && now >= start_ + lease_;
  status.in_force_ = all_reported || now >= pending.leases_end_;
  return status;
}

}  // namespace citronlane
