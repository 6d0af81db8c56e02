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
struct CallFlight;
}  // namespace citronlane::detail

namespace citronlane {

struct DriverContext;
struct PoolConfig;
class PoolShard;

/// Carries out what one Request commands: places and makes its calls, keeps
/// its timers, feeds it what comes back. Not thread safe: used on its
/// context's thread. Held by shared_ptr, as calls in flight refer to it.
class RequestDriver : public std::enable_shared_from_this<RequestDriver> {
 public:
  /// `context` must outlive the driver.
  RequestDriver(const DriverContext* context, DriverJob job);
  ~RequestDriver();
  RequestDriver(const RequestDriver&) = delete;
  RequestDriver& operator=(const RequestDriver&) = delete;

  /// Starts the first stage. Call once.
  void Start();

  /// The caller is gone: everything is cancelled.
  void CallerGone();

  const Request& request() const { return request_; }
  /// Cost of each stage so far.
  std::vector<StageCost> Costs() const;
  /// When the first text of the answer came.
  std::optional<TimePoint> first_text() const { return first_text_; }
  /// Reply of a plain service, when the request is whole.
  const std::optional<HttpReply>& service_reply() const {
    return service_reply_;
  }

 private:
  using FlightPtr = std::shared_ptr<detail::CallFlight>;

  void Pump();
  void Execute(const StartCall& command);
  void Execute(const CancelCall& command);
  void Execute(const ArmHedge& command);
  void Execute(const EmitText& command);
  void Execute(const FinishRequest& command);

  FlightPtr Place(const StartCall& command);
  void Launch(const FlightPtr& flight, const StartCall& command);
  StageCallSpec MakeSpec(const detail::CallFlight& flight,
                         const StartCall& command) const;
  void FillServiceCall(StageCallSpec* spec) const;
  uint64_t PrefixHash() const;
  /// Tells the pools of all stages that this request will call them.
  void PlanStages();
  /// Takes that back for the stages before `end`.
  void ReleasePlanned(size_t end);
  bool TakeHedge(uint32_t stage);
  bool TakeRetry(uint32_t stage, RetryReason reason);
  HedgeQuery MakeHedgeQuery(const PoolShard& pool) const;
  TimePoint AttemptDeadline(uint32_t stage) const;
  const PoolConfig& PoolOf(uint32_t stage) const;

  bool OnHead(const FlightPtr& flight, const StageReplyHead& head);
  void OnData(const FlightPtr& flight, std::string_view piece);
  bool OnToken(const FlightPtr& flight, const Token& token);
  void OnDone(const FlightPtr& flight, CallOutcome outcome, std::string body);
  void TakeReply(const FlightPtr& flight, std::string_view body);
  void TakeServiceReply(const FlightPtr& flight, std::string body);
  void FailFlight(const FlightPtr& flight, CallOutcome outcome);
  void EndFlight(const FlightPtr& flight, CallOutcome outcome);
  void ReportDrops(const FlightPtr& flight);
  std::optional<Duration> StageTime(uint32_t stage) const;
  FlightPtr FindFlight(const AttemptId& attempt) const;

  const DriverContext* const context_;
  const DriverJob job_;
  /// One for each stage, kept even if a later configuration drops the pool.
  const std::vector<std::shared_ptr<PoolShard>> pools_;
  Request request_;
  std::vector<FlightPtr> flights_;
  boost::asio::steady_timer deadline_timer_;
  bool pumping_ = false;
  std::vector<TimePoint> stage_starts_;
  /// Pools of the stages still to come; null for the others.
  std::vector<std::shared_ptr<PoolShard>> planned_;
  RequestCounters reported_;
  std::optional<TimePoint> first_text_;
  std::optional<HttpReply> service_reply_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_REQUEST_DRIVER_H_
