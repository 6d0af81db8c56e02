#ifndef CITRONLANE_ADMISSION_DETAIL_ACCOUNT_SHARES_H_
#define CITRONLANE_ADMISSION_DETAIL_ACCOUNT_SHARES_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "citronlane/admission/detail/decayed_sum.h"
#include "citronlane/base/time.h"

namespace citronlane {

/// Recent use of the client accounts by cost, compared with equal shares. Not
/// thread safe.
class AccountShares {
 public:
  AccountShares();

  /// The account used `cost` more, or less when negative.
  void Add(TimePoint now, std::string_view account, double cost);

  /// Use of the account over the equal share of the active accounts: 1 is its
  /// share, 2 twice that. 1 for the only account.
  double Overuse(TimePoint now, std::string_view account) const;

  /// Time until the account's use alone would fall to its share.
  Duration TimeToShare(TimePoint now, std::string_view account) const;

  /// Counts the active accounts anew and forgets those without recent use.
  /// Does nothing when called again soon.
  void Refresh(TimePoint now);

 private:
  std::map<std::string, DecayedSum, std::less<>> use_;
  DecayedSum total_;
  size_t active_ = 0;
  TimePoint next_refresh_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_ADMISSION_DETAIL_ACCOUNT_SHARES_H_
