#ifndef CITRONLANE_FLEET_POOL_ASSIGNMENT_H_
#define CITRONLANE_FLEET_POOL_ASSIGNMENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "absl/types/span.h"
#include "citronlane/base/time.h"

namespace citronlane {

/// Which gateway forms the batches of which stage pool. The leader decides and
/// keeps what is: a pool changes hands only when its gateway is gone or going,
/// since the next one knows nothing of the results that lie at the servers.
/// Pure. Not thread safe.
class PoolAssignment {
 public:
  /// Endpoint of the gateway that runs a service's pool, by service.
  using Owners = std::map<std::string, std::string, std::less<>>;

  /// A gateway as the leader sees it.
  struct Gateway {
    std::string endpoint_;
    bool stopping_ = false;
    /// How long its process has run.
    Duration age_{};
  };

  /// While a pool's owner can't be reached, gateways turn to the one of the
  /// others that is first by this order, and the leader names the same one when
  /// it finds the owner lost. Higher is better. Thread safe.
  using Order = std::tuple<bool, bool, uint64_t>;
  static Order SuccessorOrder(std::string_view service,
                              std::string_view endpoint,
                              bool stopping,
                              const Owners& owners);

  /// This node began to lead in `term`: what it knows comes from before.
  void StartLeading(TimePoint now, uint64_t term);
  /// What a gateway was told last, by this leader or one before; the highest
  /// number is the newest.
  void Adopt(uint64_t number, const Owners& owners);
  /// Gives pools without a gateway, or whose gateway is gone or going, to
  /// others, and forgets those that are not in `services`. Returns whether the
  /// number rose: with each change, and once for each leader.
  bool Update(absl::Span<const std::string> services,
              absl::Span<const Gateway> gateways,
              TimePoint now);

  /// Rises with each change, also over leaders. No two leaders give the same
  /// one: it holds the leader's term.
  uint64_t number() const { return number_; }
  const Owners& owners() const { return owners_; }

 private:
  struct Sight {
    /// Since when the pool's gateway is out of sight.
    std::optional<TimePoint> missing_since_;
    /// Whether this leader has seen it.
    bool was_seen_ = false;
  };

  bool IsGathering(absl::Span<const Gateway> gateways, TimePoint now) const;
  bool IsNewFleet(absl::Span<const Gateway> gateways) const;
  bool KeepsOwner(const std::string& service,
                  absl::Span<const Gateway> gateways,
                  TimePoint now);
  std::string Choose(absl::Span<const Gateway> gateways,
                     std::string_view service) const;
  std::string Successor(absl::Span<const Gateway> gateways,
                        std::string_view service) const;

  uint64_t number_ = 0;
  Owners owners_;
  std::map<std::string, Sight> sights_;
  TimePoint leading_since_;
  /// The first number of this leader.
  uint64_t first_number_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_POOL_ASSIGNMENT_H_
