#include "citronlane/admission/detail/account_shares.h"

#include <algorithm>
#include <cmath>

namespace citronlane {
namespace {

constexpr Duration kHalfLife = std::chrono::seconds(10);
constexpr Duration kRefreshInterval = std::chrono::seconds(2);
/// An account below this part of the total use is not active, and below the
/// other one forgotten.
constexpr double kActivePart = 1e-5;
constexpr double kForgottenPart = 1e-8;

}  // namespace

AccountShares::AccountShares() : total_(kHalfLife) {}

void AccountShares::Add(TimePoint now, std::string_view account, double cost) {
  auto found = use_.find(account);
  if (found == use_.end()) {
    found = use_.emplace(std::string(account), DecayedSum(kHalfLife)).first;
    ++active_;
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
  return found->second.At(now) * static_cast<double>(active_) / total;
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
  active_ = 0;
  for (auto entry = use_.begin(); entry != use_.end();) {
    const double use = entry->second.At(now);
    active_ += use > kActivePart * total ? 1 : 0;
    entry =
        use <= kForgottenPart * total ? use_.erase(entry) : std::next(entry);
  }
}

}  // namespace citronlane
