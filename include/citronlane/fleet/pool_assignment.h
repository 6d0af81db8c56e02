#ifndef CITRONLANE_FLEET_POOL_ASSIGNMENT_H_
#define CITRONLANE_FLEET_POOL_ASSIGNMENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/fleet/pool_part.h"

namespace citronlane {

/// Which gateway decides for which part of a pool. The leader decides and
/// keeps what is: a part changes hands only when its gateway is gone or going,
/// since the next one knows nothing of the results that lie at the servers.
/// Pure. Not thread safe.
class PoolAssignment {
 public:
  /// Endpoint of the gateway that decides for each part.
  using Owners = std::map<PoolPart, std::string>;

  /// The service's parts among them. Thread safe.
  static std::vector<PoolPart> PartsAmong(const Owners& owners,
                                          const std::string& service);

  /// A gateway as the leader sees it.
  struct Gateway {
    std::string endpoint_;
    bool stopping_ = false;
    /// How long its process has run.
    Duration age_{};
    std::string failure_domain_{};
  };

  /// While a part of a new fleet has no owner yet, or the owner of a pool that
  /// is not divided can't be reached, gateways turn to the one that is first by
  /// this order, and the leader names the same one. Higher is better. Thread
  /// safe.
  using Order = std::tuple<bool, bool, uint64_t>;
  static Order SuccessorOrder(const PoolPart& part,
                              const std::string& endpoint,
                              bool stopping,
                              const Owners& owners);

  /// This node began to lead in `term`: what it knows comes from before.
  void StartLeading(TimePoint now, uint64_t term);
  /// What a gateway was told last, by this leader or one before; the highest
  /// number is the newest.
  void Adopt(uint64_t number, const Owners& owners);
  /// Gives parts without a gateway, or whose gateway is gone or going, to
  /// others, and forgets those that are not in `parts`. Returns whether the
  /// number rose: with each change, and once for each leader.
  bool Update(absl::Span<const PoolPart> parts,
              absl::Span<const Gateway> gateways,
              TimePoint now);

  /// Rises with each change, also over leaders. No two leaders give the same
  /// one: it holds the leader's term.
  uint64_t number() const { return number_; }
  const Owners& owners() const { return owners_; }

 private:
  struct Sight {
    /// Since when the part's gateway is out of sight.
    std::optional<TimePoint> missing_since_;
    /// Whether this leader has seen it.
    bool was_seen_ = false;
  };

  bool IsGathering(absl::Span<const Gateway> gateways, TimePoint now) const;
  bool IsNewFleet(absl::Span<const Gateway> gateways) const;
  bool KeepsOwner(const PoolPart& part,
                  absl::Span<const Gateway> gateways,
                  TimePoint now);
  std::string Choose(absl::Span<const Gateway> gateways,
                     const PoolPart& part) const;
  std::string Successor(absl::Span<const Gateway> gateways,
                        const PoolPart& part) const;

  uint64_t number_ = 0;
  Owners owners_;
  std::map<PoolPart, Sight> sights_;
  TimePoint leading_since_;
  /// The first number of this leader.
  uint64_t first_number_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_POOL_ASSIGNMENT_H_
