#ifndef CITRONLANE_ROUTING_POOL_ROUTER_H_
#define CITRONLANE_ROUTING_POOL_ROUTER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/types/span.h"
#include "citronlane/base/error.h"
#include "citronlane/base/time.h"
#include "citronlane/routing/call_outcome.h"
#include "citronlane/routing/call_shape.h"
#include "citronlane/routing/router_options.h"
#include "citronlane/routing/server_choice.h"

namespace citronlane {

struct PoolConfig;

/// Chooses backend servers of one pool and learns from how calls end: two
/// random candidates by expected finish, near failure domain first, prefix
/// affinity with bounded load, ejection with a floor and probes. Pure: time
/// and randomness come in. Not thread safe; the owner locks one shard a pool.
class PoolRouter {
 public:
  /// Returns a number below its argument, which is at least 1.
  using RandomHook = std::function<uint64_t(uint64_t)>;

  PoolRouter(const PoolConfig& pool,
             const RouterOptions& options,
             RandomHook random);
  ~PoolRouter();
  PoolRouter(const PoolRouter&) = delete;
  PoolRouter& operator=(const PoolRouter&) = delete;

  /// Takes a new version of the pool: known servers keep what was learned.
  void Update(const PoolConfig& pool, TimePoint now);

  /// Chooses a server not named in `excluded`. Returns nothing and a reason
  /// when no server may take the call.
  std::optional<ServerChoice> Choose(TimePoint now,
                                     const CallShape& call,
                                     absl::Span<const std::string> excluded,
                                     Error* error);

  /// Requests were admitted that will call this pool in a later stage, or, when
  /// negative, have got there or ended before. Estimates count them as load, so
  /// that a burst is seen before it arrives.
  void OnPlanned(int calls);

  /// Accounts for a call that starts. Unknown servers are ignored, here and
  /// below.
  void OnStart(std::string_view server, TimePoint now, const CallShape& call);

  /// First byte of a streamed answer, `latency` after the start.
  void OnFirstByte(std::string_view server, TimePoint now, Duration latency);

  /// Call over: every OnStart is followed by exactly one OnFinish.
  /// `tokens` is what an engine generated.
  void OnFinish(std::string_view server,
                TimePoint now,
                CallOutcome outcome,
                Duration latency,
                uint32_t tokens,
                const CallShape& call);

  /// A server's own report of its queue, `age` old on arrival.
  void OnLoadReport(std::string_view server,
                    TimePoint now,
                    Duration age,
                    double queued_calls);

  /// In-flight calls that another gateway has at the server.
  void OnPeerLoad(std::string_view gateway,
                  std::string_view server,
                  TimePoint now,
                  double in_flight);

  /// The server takes no new calls from now on. An older list can not bring
  /// this incarnation back; a higher incarnation can. 0: the server said so
  /// itself, without its incarnation.
  void OnLeaving(std::string_view server, uint64_t incarnation, TimePoint now);

  /// A server of this incarnation was seen alive. Only a higher incarnation
  /// than the one that left takes calls again, one call as a probe first.
  void OnAlive(std::string_view server, uint64_t incarnation, TimePoint now);

  /// A cache event: the server holds, or dropped, the prefix. `sequence` rises
  /// by one for each event; a gap drops what is believed of the server.
  void OnCacheEvent(std::string_view server,
                    uint64_t sequence,
                    uint64_t prefix_hash,
                    bool stored);

  /// How long to wait for a call before hedging it: the learned quantile of
  /// the pool. Nothing until enough calls were seen.
  std::optional<Duration> HedgeDelay(const CallShape& call) const;

  /// Learned quantile (0 to 1) of the pool's call times, or nothing.
  std::optional<Duration> LatencyQuantile(double quantile) const;

  /// Estimate for admission: best expected finish over the usable servers.
  std::optional<Duration> ExpectedFinish(TimePoint now,
                                         const CallShape& call) const;

  /// The same for the first byte of a streamed answer.
  std::optional<Duration> ExpectedFirstByte(TimePoint now,
                                            const CallShape& call) const;

  /// How long a stream may pause between two tokens before its server is taken
  /// for stalled, from the learned pace. Nothing until streams were seen.
  std::optional<Duration> StreamStallTimeout() const;

  /// Whether the pool's last calls all failed: it is down until one succeeds.
  bool IsDown(TimePoint now) const;

  /// Servers that may take calls: neither leaving nor ejected.
  size_t usable_servers(TimePoint now) const;
  size_t in_flight() const;
  /// Sum of OnPlanned.
  size_t planned() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_POOL_ROUTER_H_
