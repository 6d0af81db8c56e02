#ifndef CITRONLANE_CONSENSUS_DETAIL_LEASE_ROUNDS_H_
#define CITRONLANE_CONSENSUS_DETAIL_LEASE_ROUNDS_H_

#include <cstdint>
#include <deque>

#include "citronlane/base/time.h"

namespace citronlane {

/// Numbers a leader's heartbeat rounds and records when each began: a reply to
/// a round proves contact no earlier than its begin. Not thread safe.
class LeaseRounds {
 public:
  /// Starts a round and drops those that began before `horizon`. Returns its
  /// number.
  uint64_t Begin(TimePoint now, TimePoint horizon);

  uint64_t current() const { return current_; }

  /// Time at which `round` began; the clock's epoch when it is unknown or was
  /// dropped.
  TimePoint BeganAt(uint64_t round) const;

 private:
  struct Round {
    uint64_t number_ = 0;
    TimePoint began_;
  };

  uint64_t current_ = 0;
  std::deque<Round> rounds_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_DETAIL_LEASE_ROUNDS_H_
