#include "citronlane/admission/detail/account_shares.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>
#include <vector>

namespace citronlane {
namespace {

constexpr Duration kHalfLife = std::chrono::seconds(10);
constexpr Duration kRefreshInterval = std::chrono::seconds(2);
/// An account with a smaller fraction of the total use is not active.
constexpr double kMinActiveFraction = 1e-5;
/// An account with no more than this fraction of the total use is removed.
constexpr double kMaxRemovedFraction = 1e-8;
/// The level is recomputed early when there are more new accounts than the
/// known ones divided by this.
constexpr size_t kGrowthDivisor = 8;
/// Fraction of the total use that is left when accounts are capped.
constexpr double kCappedUseFraction = 0.7;

/// Level at which `uses`, whose sum is 1, must be capped to leave
/// kCappedUseFraction.
double CapLevel(std::vector<double> uses) {
  std::sort(uses.begin(), uses.end());
  double below = 0;
  for (size_t i = 0; i < uses.size(); ++i) {
    const auto rest = static_cast<double>(uses.size() - i);
    if (below + rest * uses[i] >= kCappedUseFraction) {
      return (kCappedUseFraction - below) / rest;
    }
    below += uses[i];
  }
  return 1;
}

}  // namespace

AccountShares::AccountShares() : total_(kHalfLife) {}

void AccountShares::Add(TimePoint now, std::string_view account, double cost) {
  auto found = use_.find(account);
  if (found == use_.end()) {
    found = use_.emplace(std::string(account), DecayedSum(kHalfLife)).first;
    if (use_.size() >
        accounts_at_refresh_ + accounts_at_refresh_ / kGrowthDivisor) {
      next_refresh_ = now;
    }
  }
  found->second.Add(now, cost);
  total_.Add(now, cost);
}

double AccountShares::Overuse(TimePoint now, std::string_view account) const {
  const auto found = use_.find(account);
  const double total = total_.At(now);
  if (found == use_.end() || total <= 0) {
    return 0;
  }
  return found->second.At(now) / (level_ * total);
}

Duration AccountShares::TimeToShare(TimePoint now,
                                    std::string_view account) const {
  const double half_lives = std::log2(std::max(1.0, Overuse(now, account)));
  return Duration(static_cast<Duration::rep>(
      half_lives * static_cast<double>(kHalfLife.count())));
}

void AccountShares::Refresh(TimePoint now) {
  if (now < next_refresh_) {
    return;
  }
  next_refresh_ = now + kRefreshInterval;
  const double total = total_.At(now);
  std::vector<double> uses;
  uses.reserve(use_.size());
  for (auto entry = use_.begin(); entry != use_.end();) {
    const double use = entry->second.At(now);
    if (use > kMinActiveFraction * total) {
      uses.push_back(use / total);
    }
    entry = use <= kMaxRemovedFraction * total ? use_.erase(entry)
                                               : std::next(entry);
  }
  accounts_at_refresh_ = use_.size();
  if (!uses.empty()) {
    const double equal = 1 / static_cast<double>(uses.size());
    level_ = std::max(equal, CapLevel(std::move(uses)));
  }
}

}  // namespace citronlane
