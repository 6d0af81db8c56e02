#ifndef CITRONLANE_RELAY_ENGINE_PLACEMENT_H_
#define CITRONLANE_RELAY_ENGINE_PLACEMENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/fleet/pool_partition.h"
#include "citronlane/relay/owner_table.h"
#include "citronlane/routing/call_outcome.h"
#include "citronlane/routing/engine_output.h"
#include "citronlane/routing/engine_router.h"
#include "citronlane/routing/engine_run.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace citronlane {

class EventLog;
class FleetView;
class FrameChannel;
class FrameLink;
class LimitWatch;
class ServiceRouter;

namespace wire::fleet {
class EngineAsk;
class Frame;
}  // namespace wire::fleet

/// Assigns requests to the engines of a service through one placement owner for
/// each partition, which knows the load that all gateways put on its engines.
/// Each gateway alone knows only its own requests, a small fraction of an
/// engine's queue in a large fleet. This class sends questions to the placement
/// owners and replies for the partitions that this gateway owns. A gateway that
/// gets no reply chooses an engine from its own estimates. Used on the event
/// loop's thread.
class EnginePlacement {
 public:
  /// Called with the id of the chosen server; empty when no engine can be
  /// chosen.
  using ReplyHook = std::function<void(const std::string& server)>;
  /// Up-to-date router of a service; null when the service has no engines.
  using RouterHook = std::function<ServiceRouter*(const std::string& service)>;

  /// `io`, `view`, `limits` and `log` must outlive the object.
  EnginePlacement(boost::asio::io_context* io,
                  const FleetView* view,
                  std::string own_endpoint,
                  LimitWatch* limits,
                  EventLog* log,
                  RouterHook router);
  ~EnginePlacement();
  EnginePlacement(const EnginePlacement&) = delete;
  EnginePlacement& operator=(const EnginePlacement&) = delete;

  /// Purpose of a placement question.
  enum class Purpose {
    /// The request will be sent to the engine now.
    kStart,
    /// The request will be sent to the engine after its stages.
    kPlan,
    /// As kPlan, and a slot of the engine's limit is taken for it.
    kReserve,
  };

  /// Partition whose owner places a request on an engine of the failure domain,
  /// or on any engine when the service is not divided. Nothing while the owner
  /// of a divided service's partition is unreachable, or if no partition
  /// contains the domain.
  std::optional<PoolPartition> PartitionIn(
      const std::string& service,
      const std::string& failure_domain) const;
  /// Whether this gateway is the placement owner of the partition.
  bool IsPlacementOwner(const PoolPartition& partition) const;
  /// Requests an engine of the partition that is not in `excluded` from the
  /// placement owner. Returns the number of the question, which must be passed
  /// to ReportFinished() once. `replied` is called later, or never. `reserved`
  /// is the engine that was named for kReserve before, for kStart; else empty.
  /// Precondition: !IsPlacementOwner(partition).
  uint64_t RequestEngine(Purpose purpose,
                         const PoolPartition& partition,
                         const EngineRouter::Call& call,
                         absl::Span<const std::string> excluded,
                         ReplyHook replied,
                         std::string_view reserved = {});
  /// Reports that no reply came in time. After several in a row the placement
  /// owner is excluded for a while.
  void ReportNoReply(uint64_t question);
  /// Reports that the engine has read the request's prompt, `after` the call to
  /// it; 0 when that is not known.
  void ReportFirstEvent(uint64_t question, Duration after = Duration());
  /// Reports that the request's call to the engine ended, or that there was
  /// none. Call once for each question.
  void ReportFinished(uint64_t question,
                      CallOutcome outcome,
                      const EngineOutput& output = EngineOutput());

  /// Handles a frame of another gateway. Returns false for frames of other
  /// modules.
  bool Take(const std::shared_ptr<FrameChannel>& channel,
            const wire::fleet::Frame& frame);
  /// The connection of another gateway ended. Its requests are no longer
  /// counted as running.
  void Closed(const FrameChannel* channel);

  /// Number of other gateways' requests on engines that this gateway assigned.
  size_t placed() const { return placed_.size(); }

 private:
  struct Question {
    std::string owner_;
    ReplyHook replied_;
  };
  /// A request of another gateway that was placed on an engine.
  struct Placed {
    std::string service_;
    EngineRun run_;
  };
  using PlacedKey = std::pair<const FrameChannel*, uint64_t>;

  /// Adds the limits of the service's engines that the owner may not know.
  void AddLimits(const std::string& owner,
                 const PoolPartition& partition,
                 wire::fleet::EngineAsk* ask);
  void TakeLimits(const wire::fleet::EngineAsk& ask);
  /// Whether the question's request may be sent to the engine for which it has
  /// reserved a slot.
  bool MayUseReserved(const wire::fleet::EngineAsk& ask) const;
  std::optional<std::string> ChooseWithinLimits(
      ServiceRouter* router,
      const wire::fleet::EngineAsk& ask,
      const EngineRouter::Call& call,
      TimePoint now) const;
  /// Counts what the question takes of the server's limit.
  void CountSlot(const wire::fleet::EngineAsk& ask,
                 const std::string& server,
                 bool is_reserved,
                 TimePoint now);
  void ReplyTo(const std::shared_ptr<FrameChannel>& channel,
               const wire::fleet::EngineAsk& ask);
  void TakeFirstEvent(const PlacedKey& key, Duration after);
  void End(const PlacedKey& key,
           CallOutcome outcome,
           const EngineOutput& output);
  FrameLink* LinkTo(const std::string& endpoint);
  void OwnerLost(const std::string& owner);

  boost::asio::io_context* const io_;
  const FleetView* const view_;
  OwnerTable owners_;
  LimitWatch* const limits_;
  EventLog* const log_;
  const RouterHook router_;
  uint64_t last_question_ = 0;
  std::map<uint64_t, Question> questions_;
  std::map<std::string, std::unique_ptr<FrameLink>> links_;
  /// Number of consecutive questions without a reply, by placement owner.
  std::map<std::string, int> unanswered_;
  std::map<PlacedKey, Placed> placed_;
  /// Up to which number of ServerLimits a placement owner was told, by
  /// partition; 0 for a new owner.
  std::map<std::pair<std::string, PoolPartition>, uint64_t> limits_told_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_ENGINE_PLACEMENT_H_
