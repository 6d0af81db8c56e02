#include "citronlane/app/request_driver.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <xxhash.h>
#include <boost/asio/io_context.hpp>

#include "citronlane/app/driver_context.h"
#include "citronlane/app/pool_shards.h"
#include "citronlane/config/cluster_config.h"
#include "citronlane/transport/detail/steady_now.h"
#include "citronlane/transport/stage_adapter.h"
#include "citronlane/transport/stage_client.h"
#include "citronlane/transport/stage_token_reader.h"

namespace citronlane {
namespace {

using detail::SteadyNow;

constexpr size_t kMaxEventBytes = size_t{64} * 1024;
constexpr double kMedian = 0.5;
constexpr int kStatusOk = 200;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;

CallOutcome OutcomeOfStatus(int status) {
  const bool rejected =
      status == kStatusTooManyRequests || status == kStatusUnavailable;
  return rejected ? CallOutcome::kRejected : CallOutcome::kServerError;
}

int64_t Milliseconds(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// Headers of a service's reply that hold for its connection only, or that the
/// gateway writes itself.
bool IsPassedOn(std::string_view name) {
  constexpr std::string_view kKept[] = {
      "cache-control", "content-language", "etag", "last-modified",
      "location",      "retry-after",      "vary"};
  std::string lower(name);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return std::find(std::begin(kKept), std::end(kKept), lower) !=
         std::end(kKept);
}

}  // namespace

/// One call in flight.
struct RequestDriver::Flight {
  explicit Flight(boost::asio::io_context* io) : hedge_timer_(*io) {}

  AttemptId id_;
  ServerConfig server_;
  std::shared_ptr<PoolShard> pool_;
  CallShape shape_;
  TimePoint started_{};
  TimePoint deadline_{};
  bool first_byte_ = false;
  uint32_t tokens_ = 0;
  StageReplyHead head_;
  std::shared_ptr<StageCall> call_;
  std::unique_ptr<StageTokenReader> reader_;
  boost::asio::steady_timer hedge_timer_;
  bool ended_ = false;
};

RequestDriver::RequestDriver(const DriverContext* context, DriverJob job)
    : context_(context),
      job_(std::move(job)),
      request_(
          job_.plan_,
          RequestHooks{[this](uint32_t stage) {
                         const auto pool =
                             context_->pools_->Find(job_.stages_[stage].pool_);
                         return pool != nullptr && pool->TakeHedge();
                       },
                       [this](uint32_t stage, RetryReason reason) {
                         const std::string& name = job_.stages_[stage].pool_;
                         const auto pool = context_->pools_->Find(name);
                         // A resumed stream makes no new work.
                         const bool taken =
                             pool != nullptr &&
                             (reason == RetryReason::kStreamResumed ||
                              pool->TakeRetry());
                         if (taken) {
                           context_->on_retry_(name, reason);
                         }
                         return taken;
                       }}),
      deadline_timer_(*context_->io_) {}

RequestDriver::~RequestDriver() = default;

void RequestDriver::Start() {
  deadline_timer_.expires_at(job_.plan_.deadline_);
  deadline_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error) {
          self->request_.OnDeadline();
          self->Pump();
        }
      });
  request_.Start(SteadyNow());
  Pump();
}

void RequestDriver::CallerGone() {
  request_.OnCallerGone();
  Pump();
}

std::vector<StageCost> RequestDriver::Costs() const {
  std::vector<StageCost> costs;
  for (uint32_t stage = 0; stage < job_.stages_.size(); ++stage) {
    const PoolConfig& pool = PoolOf(stage);
    StageCost cost;
    cost.stage_ = job_.stages_[stage].name_;
    cost.calls_ = request_.sent_calls(stage);
    cost.tokens_ = request_.stage_tokens(stage);
    cost.cost_ = cost.calls_ * pool.cost_per_call_ +
                 static_cast<double>(cost.tokens_) * pool.cost_per_token_;
    costs.push_back(std::move(cost));
  }
  return costs;
}

void RequestDriver::Pump() {
  if (pumping_) {
    return;
  }
  pumping_ = true;
  for (auto commands = request_.TakeCommands(); !commands.empty();
       commands = request_.TakeCommands()) {
    for (const RequestCommand& command : commands) {
      std::visit([this](const auto& known) { Execute(known); }, command);
    }
  }
  pumping_ = false;
}

void RequestDriver::Execute(const StartCall& command) {
  if (request_.finished()) {
    return;
  }
  const FlightPtr flight = Place(command);
  if (flight == nullptr) {
    request_.OnNoServer(command.attempt_, SteadyNow());
    return;
  }
  request_.OnPlaced(command.attempt_, flight->server_.id_);
  Launch(flight, command);
}

void RequestDriver::Execute(const CancelCall& command) {
  if (const FlightPtr flight = FindFlight(command.attempt_)) {
    flight->call_->Cancel();
    EndFlight(flight, CallOutcome::kCancelled);
  }
}

void RequestDriver::Execute(const ArmHedge& command) {
  const FlightPtr flight = FindFlight(command.attempt_);
  if (flight == nullptr) {
    return;
  }
  const auto delay = flight->pool_->HedgeDelay(flight->shape_);
  if (!delay) {
    return;
  }
  flight->hedge_timer_.expires_at(flight->started_ + *delay);
  flight->hedge_timer_.async_wait(
      [self = shared_from_this(),
       id = command.attempt_](const boost::system::error_code& error) {
        if (!error) {
          self->request_.OnHedgeTime(id, SteadyNow());
          self->Pump();
        }
      });
}

void RequestDriver::Execute(const EmitText& command) {
  if (!first_text_) {
    first_text_ = SteadyNow();
  }
  if (job_.on_text_) {
    job_.on_text_(command);
  }
}

void RequestDriver::Execute(const FinishRequest& command) {
  deadline_timer_.cancel();
  job_.on_finish_(command);
}

RequestDriver::FlightPtr RequestDriver::Place(const StartCall& command) {
  const uint32_t stage = command.attempt_.stage_;
  const StageConfig& config = job_.stages_[stage];
  auto flight = std::make_shared<Flight>(context_->io_);
  flight->id_ = command.attempt_;
  flight->pool_ = context_->pools_->Find(config.pool_);
  if (flight->pool_ == nullptr) {
    return nullptr;
  }
  flight->shape_.batch_ = job_.input_.batch_;
  if (job_.plan_.stages_[stage].streams_) {
    flight->shape_.expected_tokens_ = config.max_tokens_;
    flight->shape_.prefix_hash_ = PrefixHash();
  }
  flight->started_ = SteadyNow();
  flight->deadline_ = AttemptDeadline(stage);
  const auto server =
      command.mode_ == CallMode::kResume
          ? flight->pool_->PlaceOn(command.server_, flight->started_,
                                   flight->shape_)
          : flight->pool_->Place(flight->started_, flight->shape_,
                                 command.excluded_, !command.hedge_);
  if (!server) {
    return nullptr;
  }
  flight->server_ = *server;
  return flight;
}

void RequestDriver::Launch(const FlightPtr& flight, const StartCall& command) {
  const auto self = shared_from_this();
  StageCallHooks hooks;
  hooks.sending_ = [self, flight] {
    return self->request_.OnSending(flight->id_);
  };
  hooks.head_ = [self, flight](const StageReplyHead& head) {
    return self->OnHead(flight, head);
  };
  hooks.done_ = [self, flight](CallOutcome outcome, std::string body) {
    self->OnDone(flight, outcome, std::move(body));
  };
  StageCallSpec spec = MakeSpec(*flight, command);
  if (spec.streams_) {
    hooks.data_ = [self, flight](std::string_view piece) {
      self->OnData(flight, piece);
    };
    flight->reader_ = std::make_unique<StageTokenReader>(
        kMaxEventBytes,
        [this, raw = std::weak_ptr<Flight>(flight)](const Token& token) {
          const FlightPtr alive = raw.lock();
          return alive != nullptr && OnToken(alive, token);
        });
  }
  flights_.push_back(flight);
  flight->call_ = context_->client_->Start(std::move(spec), std::move(hooks));
}

uint64_t RequestDriver::PrefixHash() const {
  // The engine's prompt begins with the context: the documents in their order.
  std::string prefix;
  if (request_.output().documents_) {
    for (const Document& document : *request_.output().documents_) {
      prefix.append(document.id_).append("\n");
    }
  }
  return prefix.empty() ? 0 : XXH3_64bits(prefix.data(), prefix.size());
}

StageCallSpec RequestDriver::MakeSpec(const Flight& flight,
                                      const StartCall& command) const {
  const uint32_t stage = command.attempt_.stage_;
  StageCallSpec spec;
  spec.address_ = flight.server_.address_;
  spec.port_ = flight.server_.port_;
  spec.fresh_connection_ = job_.plan_.stages_[stage].non_idempotent_;
  spec.streams_ = job_.plan_.stages_[stage].streams_;
  spec.deadline_ = flight.deadline_;
  if (spec.streams_) {
    spec.silence_limit_ = flight.pool_->StreamStallTimeout();
  }
  const auto left = std::max(Duration(0), flight.deadline_ - flight.started_);
  spec.headers_ = {{"X-Attempt-Id", command.attempt_.ToHeader()},
                   {"X-Deadline-Ms", std::to_string(Milliseconds(left))}};
  if (job_.service_call_) {
    FillServiceCall(&spec);
    return spec;
  }
  const StageAdapter adapter(PoolOf(stage).kind_);
  spec.target_ = std::string(adapter.Target());
  spec.headers_.push_back({"Content-Type", "application/json"});
  spec.body_ =
      adapter.WriteCall({&job_.stages_[stage], &job_.input_, &request_.output(),
                         &command, request_.text()});
  return spec;
}

void RequestDriver::FillServiceCall(StageCallSpec* spec) const {
  const HttpRequest& call = *job_.service_call_;
  spec->method_ = call.method_;
  spec->target_ = call.target_;
  spec->body_ = call.body_;
  for (const char* name : {"Content-Type", "Accept", "Accept-Language",
                           "Idempotency-Key", "If-None-Match"}) {
    const std::string_view value = call.Header(name);
    if (!value.empty()) {
      spec->headers_.push_back({name, std::string(value)});
    }
  }
}

TimePoint RequestDriver::AttemptDeadline(uint32_t stage) const {
  const TimePoint now = SteadyNow();
  const Duration left = job_.plan_.deadline_ - now;
  Duration later{};
  for (size_t next = stage + 1; next < job_.stages_.size(); ++next) {
    const auto pool = context_->pools_->Find(job_.stages_[next].pool_);
    const auto median =
        pool == nullptr ? std::nullopt : pool->LatencyQuantile(kMedian);
    later += median.value_or(Duration(0));
  }
  // The later stages' usual time is kept for them, but never over half.
  return now + left - std::min(later, left / 2);
}

const PoolConfig& RequestDriver::PoolOf(uint32_t stage) const {
  return job_.config_->pools_.at(job_.stages_[stage].pool_);
}

bool RequestDriver::OnHead(const FlightPtr& flight,
                           const StageReplyHead& head) {
  const TimePoint now = SteadyNow();
  if (head.load_) {
    flight->pool_->OnLoadReport(flight->server_.id_, now, head.load_age_,
                                *head.load_);
  }
  if (head.draining_) {
    context_->on_leaving_(flight->server_.id_);
  }
  flight->head_ = head;
  if (!flight->reader_) {
    return true;
  }
  if (head.status_ != kStatusOk) {
    FailFlight(flight, OutcomeOfStatus(head.status_));
    return false;
  }
  const bool accepted =
      request_.OnStreamHead(flight->id_, head.echoed_id_, now);
  if (!accepted) {
    EndFlight(flight, CallOutcome::kWrongId);
    Pump();
  }
  return accepted;
}

void RequestDriver::OnData(const FlightPtr& flight, std::string_view piece) {
  const bool usable = flight->reader_->Feed(piece);
  if (!usable && !flight->ended_) {
    flight->call_->Cancel();
    FailFlight(flight, CallOutcome::kServerError);
  }
}

bool RequestDriver::OnToken(const FlightPtr& flight, const Token& token) {
  const TimePoint now = SteadyNow();
  if (flight->ended_) {
    return true;
  }
  if (!flight->first_byte_) {
    flight->first_byte_ = true;
    flight->pool_->OnFirstByte(flight->server_.id_, now,
                               now - flight->started_);
  }
  ++flight->tokens_;
  request_.OnToken(flight->id_, token, now);
  if (request_.finished() || request_.stage() != flight->id_.stage_) {
    EndFlight(flight, CallOutcome::kSuccess);
  }
  Pump();
  return true;
}

void RequestDriver::OnDone(const FlightPtr& flight,
                           CallOutcome outcome,
                           std::string body) {
  if (flight->ended_) {
    return;
  }
  if (outcome != CallOutcome::kSuccess) {
    FailFlight(flight, outcome);
  } else if (flight->reader_) {
    // The stream ended without its last token.
    FailFlight(flight, CallOutcome::kClosedAfterSend);
  } else if (job_.service_call_) {
    TakeServiceReply(flight, std::move(body));
  } else {
    TakeReply(flight, body);
  }
}

void RequestDriver::TakeReply(const FlightPtr& flight, std::string_view body) {
  if (flight->head_.status_ != kStatusOk) {
    FailFlight(flight, OutcomeOfStatus(flight->head_.status_));
    return;
  }
  Error error;
  const uint32_t stage = flight->id_.stage_;
  auto output = StageAdapter(PoolOf(stage).kind_)
                    .ReadReply(body, request_.output(), &error);
  if (!output) {
    FailFlight(flight, CallOutcome::kServerError);
    return;
  }
  const bool own = flight->head_.echoed_id_ == flight->id_.ToHeader();
  EndFlight(flight, own ? CallOutcome::kSuccess : CallOutcome::kWrongId);
  request_.OnResult(
      StageResult{flight->id_, flight->head_.echoed_id_, *std::move(output)},
      SteadyNow());
  Pump();
}

void RequestDriver::TakeServiceReply(const FlightPtr& flight,
                                     std::string body) {
  const StagePlan& plan = job_.plan_.stages_[flight->id_.stage_];
  const int status = flight->head_.status_;
  const bool rejected =
      OutcomeOfStatus(status) == CallOutcome::kRejected &&
      (!plan.non_idempotent_ || plan.rejection_means_not_run_);
  const bool failed =
      !plan.non_idempotent_ &&
      (status == kStatusBadGateway || status == kStatusGatewayTimeout);
  if (rejected || failed) {
    FailFlight(flight, OutcomeOfStatus(status));
    return;
  }
  // A plain service need not echo the id; a wrong one is an error.
  const std::string own_id = flight->id_.ToHeader();
  std::string echoed = flight->head_.echoed_id_;
  if (echoed.empty()) {
    echoed = own_id;
  }
  if (echoed == own_id) {
    HttpReply reply;
    reply.status_ = status;
    reply.content_type_.clear();
    for (const HttpHeader& header : flight->head_.headers_) {
      if (header.name_ == "Content-Type") {
        reply.content_type_ = header.value_;
      } else if (IsPassedOn(header.name_)) {
        reply.headers_.push_back(header);
      }
    }
    reply.body_ = std::move(body);
    service_reply_ = std::move(reply);
  }
  EndFlight(flight,
            echoed == own_id ? CallOutcome::kSuccess : CallOutcome::kWrongId);
  request_.OnResult(StageResult{flight->id_, std::move(echoed), {}},
                    SteadyNow());
  Pump();
}

void RequestDriver::FailFlight(const FlightPtr& flight, CallOutcome outcome) {
  EndFlight(flight, outcome);
  request_.OnFailure(flight->id_, outcome, SteadyNow());
  Pump();
}

void RequestDriver::EndFlight(const FlightPtr& flight, CallOutcome outcome) {
  if (flight->ended_) {
    return;
  }
  flight->ended_ = true;
  flight->hedge_timer_.cancel();
  const TimePoint now = SteadyNow();
  const Duration latency = now - flight->started_;
  flight->pool_->OnFinish(flight->server_.id_, now, outcome, latency,
                          flight->tokens_, flight->shape_);
  context_->on_call_(job_.stages_[flight->id_.stage_].pool_, outcome, latency,
                     flight->pool_->in_flight());
  flights_.erase(std::remove(flights_.begin(), flights_.end(), flight),
                 flights_.end());
}

RequestDriver::FlightPtr RequestDriver::FindFlight(
    const AttemptId& attempt) const {
  const auto found = std::find_if(
      flights_.begin(), flights_.end(),
      [&attempt](const FlightPtr& flight) { return flight->id_ == attempt; });
  return found == flights_.end() ? nullptr : *found;
}

}  // namespace citronlane
