#ifndef CITRONLANE_FLEET_CONFIG_LEASE_H_
#define CITRONLANE_FLEET_CONFIG_LEASE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/fleet/lease_vote.h"

namespace citronlane {

/// A gateway's lease on its configuration. A majority of voters renews it whose
/// replies name the same membership and no configuration version above the
/// gateway's; the new term is counted from when their requests were sent. Once
/// a newer version is committed, no request sent later can renew the lease on
/// the older one; docs/design/configuration.md has the proof. Pure: no I/O, no
/// clock. Not thread safe.
class ConfigLease {
 public:
  /// `length` is the length of the lease on a true clock. The lease held here
  /// is shorter by kClockRateError, the largest rate by which the gateway's
  /// clock may run slow.
  explicit ConfigLease(Duration length);

  static constexpr double kClockRateError = 0.01;

  /// Switches the lease to a version. Returns false and changes nothing unless
  /// `version` is above the present one.
  bool Accept(uint64_t version);

  /// Records a voter's reply. A reply that names a version above the present
  /// one counts only after Accept() of that version or a higher one. A reply is
  /// ignored when its request was sent no later than that of the node's newest
  /// recorded reply.
  void OnVote(const LeaseVote& vote);

  uint64_t version() const { return version_; }

  /// End of the lease; the clock's epoch before the first majority. Never
  /// decreases.
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
  /// Replies that may still count, by node, in the order in which their
  /// requests were sent.
  std::map<uint64_t, std::vector<LeaseVote>> votes_;
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_CONFIG_LEASE_H_
