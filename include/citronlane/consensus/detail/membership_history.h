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
/// not; when its entry is replaced, the one before returns. Not thread safe.
class MembershipHistory {
 public:
  MembershipHistory(uint64_t index, Membership membership);

  const Membership& current() const { return items_.back().membership_; }
  uint64_t current_index() const { return items_.back().index_; }

  /// Takes in the membership entries among `entries`. One that can not be
  /// decoded is skipped: its leader would have refused to write it.
  void Append(absl::Span<const Entry> entries);
  /// The log was cut: its entries from `index` on are gone.
  void Truncate(uint64_t index);
  /// The log was compacted up to `index`.
  void Compact(uint64_t index);
  /// The log was replaced by a snapshot.
  void Reset(uint64_t index, Membership membership);
  /// The membership in force at `index`, not above the last entry.
  const Membership& At(uint64_t index) const;

 private:
  struct Item {
    uint64_t index_ = 0;
    Membership membership_;
  };
  /// Never empty; the first is the snapshot's.
  std::deque<Item> items_;
};

/// Whether `next` may follow `current`: exactly one node differs, a new node is
/// a learner with an id never used, and some voter is left. Sets the reason.
bool IsValidMembershipStep(const Membership& current,
                           const Membership& next,
                           Error* error);

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_DETAIL_MEMBERSHIP_HISTORY_H_
