#ifndef CITRONLANE_ADMISSION_DETAIL_ACCOUNT_SHARES_H_
#define CITRONLANE_ADMISSION_DETAIL_ACCOUNT_SHARES_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "citronlane/admission/detail/decayed_sum.h"
#include "citronlane/base/time.h"

namespace citronlane {

/// Recent use of the client accounts by cost, compared with a fair level: an
/// equal share for each active account or, if that is higher because many small
/// accounts are active, the level at which capping all accounts would leave
/// 0.7 of the total use. Not thread safe.
class AccountShares {
 public:
  AccountShares();

  /// Adds to the account's use; `cost` may be negative to correct it.
  void Add(TimePoint now, std::string_view account, double cost);

  /// Use of the account relative to the fair level: 1 is its share, 2 twice
  /// that; 0 for an unknown account.
  double Overuse(TimePoint now, std::string_view account) const;

  /// Time until the account's use decays to its share if it makes no requests.
  Duration TimeToShare(TimePoint now, std::string_view account) const;

  /// Recomputes the level and removes accounts without recent use. Does nothing
  /// when called again soon, unless the number of accounts grew considerably.
  void Refresh(TimePoint now);

 private:
  std::map<std::string, DecayedSum, std::less<>> use_;
  DecayedSum total_;
  /// Fair level as a fraction of the total use.
  double level_ = 1;
  /// Number of accounts when the level was computed.
  size_t accounts_at_refresh_ = 0;
  TimePoint next_refresh_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_ADMISSION_DETAIL_ACCOUNT_SHARES_H_
