#include "citronlane/admission/detail/account_shares.h"

#include <algorithm>
#include <cmath>

namespace citronlane {
namespace {

constexpr Duration kHalfLife = std::chrono::seconds(10);
constexpr Duration kExpiryInterval = std::chrono::seconds(10);
/// An account below this part of the total use is not active.
constexpr double kActivePart = 0.001;

}  // namespace

void AccountShares::Add(TimePoint now, std::string_view account, double cost) {
  auto found = use_.find(account);
  if (found == use_.end()) {
    found = use_.emplace(std::string(account), DecayedSum(kHalfLife)).first;
  }
  found->second.Add(now, cost);
}

double AccountShares::Overuse(TimePoint now, std::string_view account) const {
  double total = 0;
  for (const auto& [name, use] : use_) {
    total += std::max(0.0, use.At(now));
  }
  const auto found = use_.find(account);
  if (found == use_.end() || total <= 0) {
    return 0;
  }
  const auto active =
      std::count_if(use_.begin(), use_.end(), [&](const auto& entry) {
        return entry.second.At(now) > kActivePart * total;
      });
  return found->second.At(now) * static_cast<double>(active) / total;
}

Duration AccountShares::TimeToShare(TimePoint now,
                                    std::string_view account) const {
  const double half_lives = std::log2(std::max(1.0, Overuse(now, account)));
  return Duration(static_cast<Duration::rep>(
      half_lives * static_cast<double>(kHalfLife.count())));
}

void AccountShares::Expire(TimePoint now) {
  if (now < next_expiry_) {
    return;
  }
  next_expiry_ = now + kExpiryInterval;
  double total = 0;
  for (const auto& [name, use] : use_) {
    total += std::max(0.0, use.At(now));
  }
  for (auto entry = use_.begin(); entry != use_.end();) {
    const bool idle =
        entry->second.At(now) <= kActivePart * kActivePart * total;
    entry = idle ? use_.erase(entry) : std::next(entry);
  }
}

}  // namespace citronlane
