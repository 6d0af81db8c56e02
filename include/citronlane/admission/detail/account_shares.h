#ifndef CITRONLANE_ADMISSION_DETAIL_ACCOUNT_SHARES_H_
#define CITRONLANE_ADMISSION_DETAIL_ACCOUNT_SHARES_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "citronlane/admission/detail/decayed_sum.h"
#include "citronlane/base/time.h"

namespace citronlane {

/// Recent use of the client accounts by cost, compared with a fair level: the
/// equal share of the active accounts or, where many small ones make that tiny,
/// the level that caps all use at 0.7 of it. Not thread safe.
class AccountShares {
 public:
  AccountShares();

  /// The account used `cost` more, or less when negative.
  void Add(TimePoint now, std::string_view account, double cost);

  /// Use of the account over the fair level: 1 is its share, 2 twice that.
  double Overuse(TimePoint now, std::string_view account) const;

  /// Time until the account's use alone would fall to its share.
  Duration TimeToShare(TimePoint now, std::string_view account) const;

  /// Finds the level anew and forgets accounts without recent use. Does nothing
  /// when called again soon, unless an account is new.
  void Refresh(TimePoint now);

 private:
  std::map<std::string, DecayedSum, std::less<>> use_;
  DecayedSum total_;
  /// Fair level as a part of the total use.
  double level_ = 1;
  /// Accounts when the level was found.
  size_t known_ = 0;
  TimePoint next_refresh_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_ADMISSION_DETAIL_ACCOUNT_SHARES_H_
