#include "citronlane/relay/engine_placement.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "citronlane/base/steady_now.h"
#include "citronlane/net/frame_channel.h"
#include "citronlane/net/frame_link.h"
#include "citronlane/net/limit_codec.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/limit_watch.h"
#include "citronlane/relay/pool_partition_codec.h"
#include "citronlane/relay/service_router.h"
#include "citronlane/routing/server_limits.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

using wire::fleet::EngineAsk;
using wire::fleet::EngineEnd;
using wire::fleet::Frame;

/// Consecutive questions that a gateway may leave unanswered, for lack of
/// processor time, before it counts as lost.
constexpr int kMaxUnanswered = 3;
/// Bounds the times that another gateway may name.
constexpr uint64_t kMaxMilliseconds = 24ULL * 3600 * 1000;

// 0 only for no time, so that a short time is not taken for an unknown one.
uint64_t Milliseconds(Duration time) {
  if (time <= Duration()) {
    return 0;
  }
  const auto whole =
      std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  return static_cast<uint64_t>(std::max<int64_t>(1, whole));
}

Duration DurationOf(uint64_t milliseconds) {
  return std::chrono::milliseconds(std::min(milliseconds, kMaxMilliseconds));
}

// Outcome of a call as far as it matters for the engine's next calls.
CallOutcome OutcomeOf(EngineEnd::Outcome outcome) {
  switch (outcome) {
    case EngineEnd::OUTCOME_SUCCESS:
      return CallOutcome::kSuccess;
    case EngineEnd::OUTCOME_REFUSED:
      return CallOutcome::kRejected;
    case EngineEnd::OUTCOME_FAILED:
      return CallOutcome::kServerError;
    default:
      return CallOutcome::kCancelled;
  }
}

EngineEnd::Outcome WireOutcome(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kSuccess:
      return EngineEnd::OUTCOME_SUCCESS;
    case CallOutcome::kRejected:
      return EngineEnd::OUTCOME_REFUSED;
    case CallOutcome::kCancelled:
      return EngineEnd::OUTCOME_CANCELLED;
    default:
      return EngineEnd::OUTCOME_FAILED;
  }
}

}  // namespace

EnginePlacement::EnginePlacement(boost::asio::io_context* io,
                                 const FleetView* view,
                                 std::string own_endpoint,
                                 LimitWatch* limits,
                                 EventLog* log,
                                 RouterHook router)
    : io_(io),
      view_(view),
      owners_(view, std::move(own_endpoint)),
      limits_(limits),
      log_(log),
      router_(std::move(router)) {}

EnginePlacement::~EnginePlacement() = default;

std::optional<PoolPartition> EnginePlacement::PartitionIn(
    const std::string& service,
    const std::string& failure_domain) const {
  PoolPartition partition = view_->PartitionIn(service, failure_domain);
  const bool is_placed = !view_->IsDivided(service) ||
                         (view_->HasPartition(partition) &&
                          !owners_.IsOwnerLost(partition, SteadyNow()));
  return is_placed ? std::optional(std::move(partition)) : std::nullopt;
}

bool EnginePlacement::IsPlacementOwner(const PoolPartition& partition) const {
  return owners_.OwnerOf(partition, SteadyNow()) == owners_.own_endpoint();
}

uint64_t EnginePlacement::RequestEngine(Purpose purpose,
                                        const PoolPartition& partition,
                                        const EngineRouter::Call& call,
                                        absl::Span<const std::string> excluded,
                                        ReplyHook replied,
                                        std::string_view reserved) {
  const std::string owner = owners_.OwnerOf(partition, SteadyNow());
  const uint64_t number = ++last_question_;
  questions_[number] = Question{owner, std::move(replied)};
  Frame frame;
  auto* ask = frame.mutable_engine_ask();
  ask->set_question(number);
  EncodePartition(partition, ask);
  ask->set_plan(purpose != Purpose::kStart);
  ask->set_reserve(purpose == Purpose::kReserve);
  ask->set_reserved(std::string(reserved));
  for (const PromptSegment& segment : call.prompt_) {
    auto* added = ask->add_prompt();
    added->set_id(segment.id_);
    added->set_tokens(segment.tokens_);
  }
  ask->set_near(std::string(call.near_));
  ask->set_input_bytes(call.input_bytes_);
  ask->set_account(std::string(call.account_));
  ask->set_route(std::string(call.route_));
  ask->set_prompt_tokens(call.prompt_tokens_);
  ask->set_max_output_tokens(call.max_output_tokens_);
  ask->set_expected_output_tokens(call.expected_output_tokens_);
  ask->set_priority(call.priority_);
  ask->set_target_left_ms(Milliseconds(call.target_left_));
  for (const std::string& server : excluded) {
    ask->add_excluded(server);
  }
  AddLimits(owner, partition, ask);
  LinkTo(owner)->Send(frame);
  return number;
}

// An owner that replaces a lost one knows of no limits, but the gateways whose
// callers got such replies do.
void EnginePlacement::AddLimits(const std::string& owner,
                                const PoolPartition& partition,
                                EngineAsk* ask) {
  const TimePoint now = SteadyNow();
  uint64_t& told = limits_told_[{owner, partition}];
  for (const ServerLimit& limit : limits_->limits()->RecordedSince(told)) {
    const BackendServer* server = view_->FindServer(limit.server_);
    if (server == nullptr || server->service_ != partition.service_) {
      continue;
    }
    EncodeLimit(limit, now, ask->add_limits());
  }
  told = limits_->limits()->number();
}

void EnginePlacement::TakeLimits(const EngineAsk& ask) {
  const TimePoint now = SteadyNow();
  for (const auto& told : ask.limits()) {
    const ServerLimit limit = DecodeLimit(told, now);
    if (view_->FindServer(limit.server_) != nullptr) {
      limits_->Take(limit, "placement question");
    }
  }
}

void EnginePlacement::ReportNoReply(uint64_t question) {
  const auto it = questions_.find(question);
  if (it == questions_.end() || it->second.owner_.empty()) {
    return;
  }
  const std::string owner = it->second.owner_;
  if (++unanswered_[owner] >= kMaxUnanswered) {
    OwnerLost(owner);
  }
}

void EnginePlacement::ReportFirstEvent(uint64_t question, Duration after) {
  const auto it = questions_.find(question);
  if (it == questions_.end() || it->second.owner_.empty()) {
    return;
  }
  Frame frame;
  auto* first = frame.mutable_engine_first_event();
  first->set_question(question);
  first->set_after_ms(Milliseconds(after));
  LinkTo(it->second.owner_)->Send(frame);
}

void EnginePlacement::ReportFinished(uint64_t question,
                                     CallOutcome outcome,
                                     const EngineOutput& output) {
  const auto it = questions_.find(question);
  if (it == questions_.end()) {
    return;
  }
  const std::string owner = std::move(it->second.owner_);
  questions_.erase(it);
  if (owner.empty()) {
    return;
  }
  Frame frame;
  auto* end = frame.mutable_engine_end();
  end->set_question(question);
  end->set_outcome(WireOutcome(outcome));
  end->set_output_tokens(output.units_);
  end->set_output_ms(Milliseconds(output.time_));
  LinkTo(owner)->Send(frame);
}

FrameLink* EnginePlacement::LinkTo(const std::string& endpoint) {
  auto& link = links_[endpoint];
  if (!link) {
    FrameLink::Hooks hooks;
    hooks.received_ = [this, endpoint](Frame* frame) {
      if (!frame->has_engine_answer()) {
        return;
      }
      const auto it = questions_.find(frame->engine_answer().question());
      unanswered_.erase(endpoint);
      if (it != questions_.end()) {
        it->second.replied_(frame->engine_answer().server());
      }
    };
    // Deferred, since the link may be lost within Send().
    hooks.lost_ = [this, endpoint](FrameLink::Loss) {
      boost::asio::post(*io_, [this, endpoint] { OwnerLost(endpoint); });
    };
    link = std::make_unique<FrameLink>(io_, endpoint, std::move(hooks));
  }
  return link.get();
}

// The owner has lost all state of the questions asked on that connection.
void EnginePlacement::OwnerLost(const std::string& owner) {
  owners_.MarkLost(owner, SteadyNow());
  unanswered_.erase(owner);
  size_t open = 0;
  for (auto& [number, question] : questions_) {
    if (question.owner_ == owner) {
      question.owner_.clear();
      ++open;
    }
  }
  for (auto& [told, until] : limits_told_) {
    if (told.first == owner) {
      until = 0;
    }
  }
  if (const auto link = links_.find(owner); link != links_.end()) {
    link->second->Drop();
  }
  log_->Write("engines", "owner lost",
              {{"owner", owner}, {"requests", static_cast<uint64_t>(open)}});
}

bool EnginePlacement::Take(const std::shared_ptr<FrameChannel>& channel,
                           const Frame& frame) {
  if (frame.has_engine_ask()) {
    ReplyTo(channel, frame.engine_ask());
  } else if (frame.has_engine_first_event()) {
    TakeFirstEvent({channel.get(), frame.engine_first_event().question()},
                   DurationOf(frame.engine_first_event().after_ms()));
  } else if (frame.has_engine_end()) {
    End({channel.get(), frame.engine_end().question()},
        OutcomeOf(frame.engine_end().outcome()),
        EngineOutput{frame.engine_end().output_tokens(),
                     DurationOf(frame.engine_end().output_ms())});
  } else {
    return false;
  }
  return true;
}

// The number of calls sent is checked here, so the slot need not have been
// taken by this owner.
bool EnginePlacement::MayUseReserved(const EngineAsk& ask) const {
  const BackendServer* server = view_->FindServer(ask.reserved());
  return server != nullptr && !server->leaving_ &&
         server->service_ == ask.service() &&
         (ask.part_domain().empty() ||
          server->failure_domain_ == ask.part_domain()) &&
         limits_->limits()->MayCallReserved(ask.reserved(), SteadyNow());
}

void EnginePlacement::ReplyTo(const std::shared_ptr<FrameChannel>& channel,
                              const EngineAsk& ask) {
  ServiceRouter* router = router_(ask.service());
  if (router == nullptr) {
    return;
  }
  std::vector<PromptSegment> prompt;
  for (const auto& segment : ask.prompt()) {
    prompt.push_back({segment.id(), segment.tokens()});
  }
  EngineRouter::Call call;
  call.prompt_ = prompt;
  call.near_ = ask.near();
  call.input_bytes_ = ask.input_bytes();
  call.sees_all_requests_ = true;
  call.required_domain_ = ask.part_domain();
  call.route_ = ask.route();
  call.account_ = ask.account();
  call.prompt_tokens_ = ask.prompt_tokens();
  call.max_output_tokens_ = ask.max_output_tokens();
  call.expected_output_tokens_ = ask.expected_output_tokens();
  call.priority_ = ask.priority();
  call.target_left_ = DurationOf(ask.target_left_ms());
  TakeLimits(ask);
  const TimePoint now = SteadyNow();
  const bool is_reserved = !ask.plan() && MayUseReserved(ask);
  const auto server = is_reserved ? std::optional(ask.reserved())
                                  : ChooseWithinLimits(router, ask, call, now);
  Frame frame;
  auto* answer = frame.mutable_engine_answer();
  answer->set_question(ask.question());
  if (server) {
    answer->set_server(*server);
    CountSlot(ask, *server, is_reserved, now);
    if (!ask.plan()) {
      placed_[{channel.get(), ask.question()}] =
          Placed{ask.service(), router->Begin(*server, now, call)};
    }
  }
  channel->Send(frame);
}

std::optional<std::string> EnginePlacement::ChooseWithinLimits(
    ServiceRouter* router,
    const EngineAsk& ask,
    const EngineRouter::Call& call,
    TimePoint now) const {
  std::vector<std::string> excluded = limits_->limits()->Exhausted(
      ServerLimits::Scope::kOwner, view_->GatewayCount(), now);
  excluded.insert(excluded.end(), ask.excluded().begin(), ask.excluded().end());
  return router->Choose(now, call, excluded);
}

void EnginePlacement::CountSlot(const EngineAsk& ask,
                                const std::string& server,
                                bool is_reserved,
                                TimePoint now) {
  ServerLimits* const limits = limits_->limits();
  if (ask.reserve()) {
    limits->Reserve(server, now);
  } else if (is_reserved) {
    limits->OnReservedCall(server, now);
  } else if (!ask.plan()) {
    limits->OnCall(server, now);
  }
}

void EnginePlacement::TakeFirstEvent(const PlacedKey& key, Duration after) {
  const auto it = placed_.find(key);
  if (it == placed_.end()) {
    return;
  }
  Placed& placed = it->second;
  if (ServiceRouter* router = router_(placed.service_)) {
    router->FirstEvent(&placed.run_, SteadyNow(), after);
  }
}

void EnginePlacement::End(const PlacedKey& key,
                          CallOutcome outcome,
                          const EngineOutput& output) {
  const auto it = placed_.find(key);
  if (it == placed_.end()) {
    return;
  }
  const Placed placed = std::move(it->second);
  placed_.erase(it);
  limits_->limits()->OnEnd(placed.run_.server_,
                           outcome == CallOutcome::kRejected, SteadyNow());
  if (ServiceRouter* router = router_(placed.service_)) {
    router->End(placed.run_, SteadyNow(), outcome, Duration(), output);
  }
}

// The gateway's requests may still run, but their ends will not be reported.
void EnginePlacement::Closed(const FrameChannel* channel) {
  for (auto it = placed_.lower_bound({channel, 0});
       it != placed_.end() && it->first.first == channel;) {
    const PlacedKey key = (it++)->first;
    End(key, CallOutcome::kCancelled, EngineOutput());
  }
}

}  // namespace citronlane
