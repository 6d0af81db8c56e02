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

/// Chooses backend servers of one pool and learns from how calls end: compares
/// randomly sampled servers by expected finish, prefers the gateway's own
/// failure domain and servers that hold the prompt prefix, and ejects outliers
/// (never more than a fraction of the pool), which return through a probe call.
/// It makes no calls, keeps no deadlines and decides no retries; see
/// RetryPolicy and HedgePolicy. Time and randomness are passed in. Not thread
/// safe.
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

  /// Applies a new version of the pool. Servers that stay keep their
  /// statistics; assumed cache contents are dropped when the list changed.
  void Update(const PoolConfig& pool, TimePoint now);

  /// Chooses a server not named in `excluded`. Returns nullopt and sets
  /// `error` (which must not be null) when no server may take the call. Also
  /// ejects and readmits servers that are due.
  std::optional<ServerChoice> Choose(TimePoint now,
                                     const CallShape& call,
                                     absl::Span<const std::string> excluded,
                                     Error* error);

  /// Adds to the number of admitted requests that will call this pool in a
  /// later stage; negative when they have reached it or ended before. Estimates
  /// count them as load, so that a burst is seen before it arrives.
  void OnPlanned(int calls);

  /// Accounts for a call that starts. Unknown servers are ignored, here and
  /// below.
  void OnStart(std::string_view server, TimePoint now, const CallShape& call);

  /// First byte of a streamed reply, `latency` after the start.
  void OnFirstByte(std::string_view server, TimePoint now, Duration latency);

  /// End of a call, `latency` after the start: every OnStart is followed by
  /// exactly one OnFinish. `tokens` is the number that an engine generated, 0
  /// for other servers.
  void OnFinish(std::string_view server,
                TimePoint now,
                CallOutcome outcome,
                Duration latency,
                uint32_t tokens,
                const CallShape& call);

  /// A server's own report of its queue, `age` old on arrival. A report older
  /// than the last one is ignored.
  void OnLoadReport(std::string_view server,
                    TimePoint now,
                    Duration age,
                    double queued_calls);

  /// In-flight calls that another gateway has at the server.
  void OnPeerLoad(std::string_view gateway,
                  std::string_view server,
                  TimePoint now,
                  double in_flight);

  /// The server is draining: it takes no new calls from now on. A server list
  /// does not bring this incarnation back, only a higher incarnation does.
  /// `incarnation` is 0 when the server reported it itself, since its own
  /// report does not carry one: the highest known incarnation is meant.
  void OnLeaving(std::string_view server, uint64_t incarnation, TimePoint now);

  /// The server runs with this incarnation. After OnLeaving, only a higher
  /// incarnation takes calls again, one call as a probe first.
  void OnAlive(std::string_view server, uint64_t incarnation, TimePoint now);

  /// A cache event: the server stored (`stored`) or evicted the prefix.
  /// `sequence` rises by one for each event; after a gap the router assumes
  /// that the server holds nothing that was reported before.
  void OnCacheEvent(std::string_view server,
                    uint64_t sequence,
                    uint64_t prefix_hash,
                    bool stored);

  /// How long to wait for a call before hedging it: RouterOptions'
  /// hedge_quantile_ of the pool's recent times to the first byte for a stream,
  /// or of whole calls otherwise. Nullopt until enough calls were observed.
  std::optional<Duration> HedgeDelay(const CallShape& call) const;

  /// Quantile (0 to 1) of the pool's recent call times; nullopt until enough
  /// calls were observed.
  std::optional<Duration> LatencyQuantile(double quantile) const;

  /// Expected time of a call that starts now, for admission: the mean of the
  /// better of two randomly chosen usable servers. Nullopt without usable
  /// servers or until enough calls were observed.
  std::optional<Duration> ExpectedFinish(TimePoint now,
                                         const CallShape& call) const;

  /// The same for the first byte of a streamed reply; ExpectedFinish for a call
  /// that does not stream.
  std::optional<Duration> ExpectedFirstByte(TimePoint now,
                                            const CallShape& call) const;

  /// How long a stream may pause between two tokens before its server counts as
  /// stalled, derived from the usual token interval. Nullopt until streams were
  /// observed.
  std::optional<Duration> StreamStallTimeout() const;

  /// Whether the pool's last calls all failed. True until a call succeeds, or
  /// until no call has ended for a while, so that the pool is tried again.
  bool IsDown(TimePoint now) const;

  /// Servers that may take calls, neither draining nor ejected, as of the last
  /// call that updates this list (Update, Choose, OnLeaving, OnAlive); `now` is
  /// not used. When all that are not draining are ejected, these count.
  size_t usable_servers(TimePoint now) const;
  /// Calls started and not finished.
  size_t in_flight() const;
  /// Sum of OnPlanned, at least 0.
  size_t planned() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_POOL_ROUTER_H_
