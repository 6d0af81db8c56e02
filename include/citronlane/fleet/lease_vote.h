#ifndef CITRONLANE_FLEET_LEASE_VOTE_H_
#define CITRONLANE_FLEET_LEASE_VOTE_H_

#include <cstdint>
#include <vector>

#include "citronlane/base/time.h"

namespace citronlane {

/// One voter's reply to a lease renewal.
struct LeaseVote {
  uint64_t node_ = 0;
  /// Voters according to the log of the replying node, ascending.
  std::vector<uint64_t> voters_;
  /// Newest configuration version in that log, committed or not.
  uint64_t newest_version_ = 0;
  /// When the renewal request was sent, by the gateway's clock.
  TimePoint sent_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_LEASE_VOTE_H_
