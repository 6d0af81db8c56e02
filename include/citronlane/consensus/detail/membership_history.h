#ifndef CITRONLANE_CONSENSUS_DETAIL_MEMBERSHIP_HISTORY_H_
#define CITRONLANE_CONSENSUS_DETAIL_MEMBERSHIP_HISTORY_H_

#include <cstdint>
#include <deque>
#include <string>

#include "absl/types/span.h"
#include "citronlane/base/error.h"
#include "citronlane/consensus/entry.h"
#include "citronlane/consensus/membership.h"

namespace citronlane {

/// The memberships in a node's log. The newest one is in force, committed or
/// not; when its entry is truncated, the previous one is in force again. Not
/// thread safe.
class MembershipHistory {
 public:
  MembershipHistory(uint64_t index, Membership membership);

  const Membership& current() const { return items_.back().membership_; }
  uint64_t current_index() const { return items_.back().index_; }

  /// Adds the membership entries among `entries`. One that can not be decoded
  /// is skipped: no leader writes such an entry.
  void Append(absl::Span<const Entry> entries);
  /// Removes the memberships of the entries from `index` on, after the log was
  /// truncated there.
  void Truncate(uint64_t index);
  /// Removes the memberships that are no longer in force at `index`, after the
  /// log was compacted up to it.
  void Compact(uint64_t index);
  /// Replaces the history by the membership of a snapshot at `index`.
  void Reset(uint64_t index, Membership membership);
  /// Returns the membership in force at `index`. Precondition: `index` is not
  /// above that of the last entry.
  const Membership& At(uint64_t index) const;

 private:
  struct Item {
    uint64_t index_ = 0;
    Membership membership_;
  };
  /// Never empty; the first is the one in force at the last snapshot.
  std::deque<Item> items_;
};

/// Returns whether `next` may follow `current`: exactly one node differs, a new
/// node is a learner with an id above `current.last_id_`, and `next` has 1 to 7
/// voters. Sets `error` when not.
bool IsValidMembershipChange(const Membership& current,
                             const Membership& next,
                             Error* error);

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_DETAIL_MEMBERSHIP_HISTORY_H_
