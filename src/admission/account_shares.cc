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
/// An account below this part of the total use is not active, and below the
/// other one forgotten.
constexpr double kActivePart = 1e-5;
constexpr double kForgottenPart = 1e-8;
/// Level and accounts are looked at anew when they grew by one in this many.
constexpr size_t kGrowthPart = 8;
constexpr double kKeptUse = 0.7;

/// Level to which uses must be cut so that kKeptUse of their sum of 1 is left.
double CappingLevel(std::vector<double> uses) {
  std::sort(uses.begin(), uses.end());
  double below = 0;
  for (size_t i = 0; i < uses.size(); ++i) {
    const auto rest = static_cast<double>(uses.size() - i);
    if (below + rest * uses[i] >= kKeptUse) {
      return (kKeptUse - below) / rest;
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
    if (use_.size() > known_ + known_ / kGrowthPart) {
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
    if (use > kActivePart * total) {
      uses.push_back(use / total);
    }
    entry =
        use <= kForgottenPart * total ? use_.erase(entry) : std::next(entry);
  }
  known_ = use_.size();
  if (!uses.empty()) {
    const double equal = 1 / static_cast<double>(uses.size());
    level_ = std::max(equal, CappingLevel(std::move(uses)));
  }
}

}  // namespace citronlane
