#ifndef CITRONLANE_FLEET_CONFIG_LEASE_H_
#define CITRONLANE_FLEET_CONFIG_LEASE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/fleet/lease_vote.h"

namespace citronlane {

/// A gateway's lease on its configuration. It is renewed by a majority of the
/// voters that answered from one and the same membership and know no newer
/// version than the gateway's, counted from when they were asked. Once a newer
/// version is committed, no question asked later can renew the lease on the
/// older one; docs/design/configuration.md gives the proof. Pure. Not thread
/// safe.
class ConfigLease {
 public:
  /// `length` is the lease's length on a true clock; the gateway's own is
  /// trusted to run at most kClockRateError slow.
  explicit ConfigLease(Duration length);

  static constexpr double kClockRateError = 0.01;

  /// Takes a version into force. False, and nothing changes, unless it is
  /// above the present one.
  bool Accept(uint64_t version);

  /// A voter answered. An answer that names a newer version than the present
  /// one counts once that version is taken.
  void OnVote(const LeaseVote& vote);

  uint64_t version() const { return version_; }

  /// The lease's end; the clock's epoch when there was none yet. Never falls.
  TimePoint valid_until() const { return valid_until_; }

  bool IsValid(TimePoint now) const {
    return version_ > 0 && now < valid_until_;
  }

 private:
  void Renew();
  TimePoint MajoritySent(const std::vector<uint64_t>& voters) const;

  const Duration length_;
  uint64_t version_ = 0;
  TimePoint valid_until_{};
  /// For each node the answers that may still count, in order of time.
  std::map<uint64_t, std::vector<LeaseVote>> votes_;
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_CONFIG_LEASE_H_
