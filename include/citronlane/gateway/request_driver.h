#ifndef CITRONLANE_GATEWAY_REQUEST_DRIVER_H_
#define CITRONLANE_GATEWAY_REQUEST_DRIVER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "citronlane/base/time.h"
#include "citronlane/gateway/driver_job.h"
#include "citronlane/gateway/stage_cost.h"
#include "citronlane/request/request.h"
#include "citronlane/routing/hedge_query.h"
#include "citronlane/transport/http_reply.h"
#include "citronlane/transport/stage_call_spec.h"
#include "citronlane/transport/stage_reply_head.h"

namespace citronlane::detail {
struct InFlightCall;
}  // namespace citronlane::detail

namespace citronlane {

struct DriverContext;
struct PoolConfig;
class PoolShard;

/// Executes the commands of one Request state machine: places and sends its
/// stage calls, runs its timers and passes replies back to it. Not thread safe:
/// used on the thread of its context. Must be owned by a shared_ptr, because
/// calls in flight refer to it.
class RequestDriver : public std::enable_shared_from_this<RequestDriver> {
 public:
  /// `context` must outlive the driver.
  RequestDriver(const DriverContext* context, DriverJob job);
  ~RequestDriver();
  RequestDriver(const RequestDriver&) = delete;
  RequestDriver& operator=(const RequestDriver&) = delete;

  /// Starts the first stage. Call once.
  void Start();

  /// Cancels the request because the caller disconnected.
  void CallerGone();

  const Request& request() const { return request_; }
  /// Returns the cost of each stage so far, in the order of the stages.
  std::vector<StageCost> Costs() const;
  /// When the first text of the response was received.
  std::optional<TimePoint> first_text() const { return first_text_; }
  /// Reply of a plain service, once it was received.
  const std::optional<HttpReply>& service_reply() const {
    return service_reply_;
  }

 private:
  using InFlightCallPtr = std::shared_ptr<detail::InFlightCall>;

  void Pump();
  void Execute(const StartCall& command);
  void Execute(const CancelCall& command);
  void Execute(const ArmHedge& command);
  void Execute(const EmitText& command);
  void Execute(const FinishRequest& command);

  InFlightCallPtr Place(const StartCall& command);
  void Launch(const InFlightCallPtr& call, const StartCall& command);
  StageCallSpec MakeSpec(const detail::InFlightCall& call,
                         const StartCall& command) const;
  void FillServiceCall(StageCallSpec* spec) const;
  uint64_t PrefixHash() const;
  /// Announces one planned call to the pool of each stage.
  void RegisterPlannedCalls();
  /// Withdraws the planned calls of the stages before `end`.
  void ReleasePlannedCalls(size_t end);
  bool TakeHedge(uint32_t stage);
  bool TakeRetry(uint32_t stage, RetryReason reason);
  HedgeQuery MakeHedgeQuery(const PoolShard& pool) const;
  TimePoint AttemptDeadline(uint32_t stage) const;
  const PoolConfig& PoolOf(uint32_t stage) const;

  bool OnHead(const InFlightCallPtr& call, const StageReplyHead& head);
  void OnData(const InFlightCallPtr& call, std::string_view fragment);
  bool OnToken(const InFlightCallPtr& call, const Token& token);
  void OnDone(const InFlightCallPtr& call,
              CallOutcome outcome,
              std::string body);
  void HandleReply(const InFlightCallPtr& call, std::string_view body);
  void HandleServiceReply(const InFlightCallPtr& call, std::string body);
  void FailCall(const InFlightCallPtr& call, CallOutcome outcome);
  void CompleteCall(const InFlightCallPtr& call, CallOutcome outcome);
  /// Reports the call if its server may have crashed.
  void NoteCrash(const detail::InFlightCall& call, CallOutcome outcome);
  void ReportDrops(const InFlightCallPtr& call);
  std::optional<Duration> StageTime(uint32_t stage) const;
  InFlightCallPtr FindCall(const AttemptId& attempt) const;

  const DriverContext* const context_;
  const DriverJob job_;
  /// One per stage; kept even if a later configuration removes the pool. Null
  /// if there was no such pool.
  const std::vector<std::shared_ptr<PoolShard>> pools_;
  Request request_;
  std::vector<InFlightCallPtr> in_flight_calls_;
  boost::asio::steady_timer deadline_timer_;
  bool pumping_ = false;
  std::vector<TimePoint> stage_starts_;
  /// Pools of the stages that have not started; null for the others.
  std::vector<std::shared_ptr<PoolShard>> planned_;
  RequestCounters reported_;
  std::optional<TimePoint> first_text_;
  std::optional<HttpReply> service_reply_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_REQUEST_DRIVER_H_
