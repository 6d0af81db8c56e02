#ifndef CITRONLANE_RELAY_ENGINE_PLACEMENT_H_
#define CITRONLANE_RELAY_ENGINE_PLACEMENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/fleet/pool_part.h"
#include "citronlane/relay/owner_table.h"
#include "citronlane/routing/call_outcome.h"
#include "citronlane/routing/engine_router.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace citronlane {

class EventLog;
class FleetView;
class FrameChannel;
class FrameLink;
class ServiceRouter;

namespace wire::fleet {
class EngineAsk;
class Frame;
}  // namespace wire::fleet

/// Lets one gateway place the requests of all on the engines of a service, or
/// of a part of it, so that it knows what each engine has to read: a gateway by
/// itself knows only of its own requests, a small part of what queues at an
/// engine of a large fleet. Asks that gateway, and answers for the parts that
/// this one decides for. Who gets no answer chooses by itself. On the event
/// loop's thread.
class EnginePlacement {
 public:
  /// `server` is empty when there is none that may be chosen.
  using Answered = std::function<void(const std::string& server)>;
  /// Up-to-date router of a service; null when it has no engines.
  using RouterHook = std::function<ServiceRouter*(const std::string& service)>;

  /// The pointers outlive the object.
  EnginePlacement(boost::asio::io_context* io,
                  const FleetView* view,
                  std::string own_endpoint,
                  EventLog* log,
                  RouterHook router);
  ~EnginePlacement();
  EnginePlacement(const EnginePlacement&) = delete;
  EnginePlacement& operator=(const EnginePlacement&) = delete;

  /// What an answer is for.
  enum class Purpose {
    /// The request goes to the engine now.
    kStart,
    /// It will, once its stages are done.
    kPlan,
  };

  /// The part whose gateway places a request on an engine of the failure
  /// domain, or of any when the service's engines are not divided; nothing
  /// while that gateway can't be reached and nobody takes its place.
  std::optional<PoolPart> PartIn(const std::string& service,
                                 const std::string& failure_domain) const;
  /// Whether this gateway places the part's requests.
  bool IsHere(const PoolPart& part) const;
  /// Asks who places them for an engine of the part that is not in `excluded`.
  /// Returns the number of the question, for Finished. `answered` is called
  /// later, or never. Precondition: it is another gateway.
  uint64_t Ask(Purpose purpose,
               const PoolPart& part,
               const EngineRouter::Call& call,
               absl::Span<const std::string> excluded,
               Answered answered);
  /// There was no answer in time: who decides is passed over for a while.
  void NoAnswer(uint64_t question);
  void FirstEvent(uint64_t question);
  /// The request's call to the engine is over, or there was none. Call once a
  /// question.
  void Finished(uint64_t question, CallOutcome outcome);

  /// Takes a frame of another gateway; false when it is for others.
  bool Take(const std::shared_ptr<FrameChannel>& channel,
            const wire::fleet::Frame& frame);
  /// The connection of another gateway ended, and with it what it runs.
  void Closed(const FrameChannel* channel);

  size_t placed() const { return placed_.size(); }

 private:
  struct Question {
    std::string owner_;
    Answered answered_;
  };
  /// A request of another gateway that runs on an engine.
  struct Placed {
    std::string service_;
    std::string server_;
    /// Tokens that the engine has still to read for it.
    double unread_ = 0;
  };
  using PlacedKey = std::pair<const FrameChannel*, uint64_t>;

  void Answer(const std::shared_ptr<FrameChannel>& channel,
              const wire::fleet::EngineAsk& ask);
  void TakeFirstEvent(const PlacedKey& key);
  void End(const PlacedKey& key, CallOutcome outcome);
  FrameLink* LinkTo(const std::string& endpoint);
  void OwnerLost(const std::string& owner);

  boost::asio::io_context* const io_;
  const FleetView* const view_;
  OwnerTable owners_;
  EventLog* const log_;
  const RouterHook router_;
  uint64_t last_question_ = 0;
  std::map<uint64_t, Question> questions_;
  std::map<std::string, std::unique_ptr<FrameLink>> links_;
  /// Questions in a row without an answer, by the gateway asked.
  std::map<std::string, int> unanswered_;
  std::map<PlacedKey, Placed> placed_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_ENGINE_PLACEMENT_H_
