#include "citronlane/relay/stage_pool.h"

#include <algorithm>
#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/net/server_call_spec.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/limit_watch.h"
#include "citronlane/relay/reach_watch.h"
#include "citronlane/routing/server_limits.h"
#include "citronlane/serving/dialect.h"
#include "citronlane/transport/stage_call.h"
#include "citronlane/transport/stage_client.h"
#include "citronlane/transport/stage_reply_head.h"

namespace citronlane {
namespace {

constexpr int kOk = 200;
/// Freeing takes little time; a server that does not reply expires the results.
constexpr Duration kFreeTimeout = std::chrono::milliseconds(800);
/// Results for each server in backoff whose deletion is put off. Others expire.
constexpr size_t kMaxPostponedFrees = 4096;
/// How long replies are remembered. An idle connection is not reused after 4 s.
constexpr Duration kReplyMemoryTime = std::chrono::seconds(10);

}  // namespace

StagePool::StagePool(PoolPartition partition,
                     const StagePoolSpec& spec,
                     PoolRepeatBudget budget,
                     LimitWatch* limits,
                     ReachWatch* reach,
                     const FleetView* view,
                     const Dialect* dialect,
                     StageClient* client,
                     EventLog* log)
    : partition_(std::move(partition)),
      name_(partition_.Name()),
      limits_(limits),
      reach_(reach),
      view_(view),
      dialect_(dialect),
      client_(client),
      log_(log),
      budget_(std::move(budget)),
      batcher_(
          spec,
          [this](TimePoint now) { return budget_.TryTake(now); },
          [this](const std::string& server, TimePoint now) {
            return limits_->backoffs()->MayCall(server, now) &&
                   limits_->limits()->MayCall(server,
                                              ServerLimits::Scope::kOwner,
                                              view_->GatewayCount(), now);
          },
          [this](TimePoint now) { budget_.OnFirstSend(now); }),
      reply_check_(kReplyMemoryTime) {}

StagePool::~StagePool() {
  for (const auto& [number, call] : calls_) {
    call->Cancel();
  }
}

uint64_t StagePool::Submit(StageTask task,
                           Done done,
                           InputsTaken inputs_taken) {
  const TimePoint now = SteadyNow();
  const uint64_t number = batcher_.Add(std::move(task), now);
  waiting_[number] = Waiting{std::move(done), std::move(inputs_taken)};
  Pump(now);
  return number;
}

bool StagePool::Cancel(uint64_t task) {
  waiting_.erase(task);
  return batcher_.Cancel(task);
}

void StagePool::Free(absl::Span<const std::string> handles) {
  batcher_.Free(handles);
  Pump(SteadyNow());
}

void StagePool::ReturnUnsentTasks() {
  batcher_.ReturnUnsentTasks();
  Pump(SteadyNow());
}

std::optional<StageWait> StagePool::ExpectedWait(const StageForecast& forecast,
                                                 TimePoint now) const {
  return view_->ServersAge(now)
             ? std::optional(batcher_.ExpectedWait(forecast, now))
             : std::nullopt;
}

void StagePool::Begin(TimePoint now) {
  Tick(now);
  batcher_.TakeOver(now);
}

void StagePool::Tick(TimePoint now) {
  budget_.Tick(now);
  if (partitions_number_ != view_->partitions_number()) {
    partitions_number_ = view_->partitions_number();
    batcher_.SetServers(view_->ServersIn(partition_));
  }
  const auto& config = view_->config();
  if (config && config->version() != config_version_) {
    config_version_ = config->version();
    const Service* service = config->FindService(partition_.service_);
    if (service != nullptr && service->stage_pool_) {
      batcher_.SetSpec(*service->stage_pool_);
    }
  }
  batcher_.Tick(now);
  Pump(now);
}

void StagePool::Pump(TimePoint now) {
  while (auto batch = batcher_.Next(now)) {
    Start(std::move(*batch), now);
  }
  for (const uint64_t task : batcher_.TakeTasksWithInputsTaken()) {
    const auto it = waiting_.find(task);
    if (it != waiting_.end()) {
      const InputsTaken inputs_taken = it->second.inputs_taken_;
      inputs_taken();
    }
  }
  for (const StageOutcome& outcome : batcher_.TakeOutcomes()) {
    const auto it = waiting_.find(outcome.task_);
    if (it != waiting_.end()) {
      const Done done = std::move(it->second.done_);
      waiting_.erase(it);
      done(outcome);
    }
  }
  SendUnwanted(now);
}

void StagePool::Start(StageBatch batch, TimePoint now) {
  const uint64_t number = batch.call_;
  limits_->limits()->OnCall(batch.server_, now);
  StageCallSpec spec = SpecFor(batch.address_, "POST",
                               dialect_->stage_call_path_, batch.deadline_);
  ServerCallHead head;
  head.server_name_ = batch.server_name_;
  head.time_left_ = batch.deadline_ - now;
  spec.headers_ = dialect_->write_call_({}, head);
  spec.headers_.push_back({"Content-Type", "application/json"});
  spec.connection_group_ = batch.server_;
  spec.body_ = dialect_->write_stage_call_(batch.pieces_);
  log_->Write("stages", "call",
              {{"service", name_},
               {"server", batch.server_},
               {"call", number},
               {"pieces", static_cast<uint64_t>(batch.pieces_.size())},
               {"waiting", static_cast<uint64_t>(batcher_.waiting_pieces())},
               {"kept_bytes", batch.kept_bytes_},
               {"room_left", batch.room_left_},
               {"first_request", batch.pieces_.front().request_id_}});
  const auto reply = std::make_shared<Reply>();
  StageCallHooks hooks;
  hooks.sending_ = [this] {
    reach_->OnCall();
    return true;
  };
  hooks.head_ = [this, reply, server = batch.server_,
                 address = batch.address_](const StageReplyHead& head) {
    reach_->OnReply(address);
    const ServerReplyHead read =
        dialect_->read_reply_(head.status_, head.headers_);
    reply->status_ = head.status_;
    reply->not_run_ = read.not_run_;
    if (!read.wrong_server_) {
      limits_->OnReply(server, read);
    }
    return true;
  };
  hooks.owner_by_body_ = [this, number, reply, server = batch.server_,
                          pieces = std::move(batch.pieces_)](
                             const StageReplyHead& head,
                             std::string_view body) {
    if (head.status_ != kOk) {
      return ReplyOwner::kAssumed;
    }
    reply->results_ = dialect_->read_stage_reply_(body, &reply->error_);
    return OwnerOf(number, server, pieces, head, *reply);
  };
  hooks.done_ = [this, number, reply, server = batch.server_](
                    CallOutcome outcome, const std::string&) {
    calls_.erase(number);
    limits_->limits()->OnEnd(
        server, outcome == CallOutcome::kSuccess && reply->IsFull(),
        SteadyNow());
    if (outcome == CallOutcome::kSuccess) {
      TakeReply(number, server, *reply);
    } else {
      TakeFailure(number, server, outcome);
    }
  };
  calls_[number] = client_->Start(std::move(spec), std::move(hooks));
}

void StagePool::TakeReply(uint64_t call,
                          const std::string& server,
                          const Reply& reply) {
  const TimePoint now = SteadyNow();
  // Results that were parsed before the call failed are ignored.
  if (reply.status_ == kOk && reply.results_) {
    LogIncompletePieces(call, server, *reply.results_);
    batcher_.Finished(call, *reply.results_, now);
  } else {
    log_->Write("stages", "call refused",
                {{"service", name_},
                 {"server", server},
                 {"call", call},
                 {"status", reply.status_},
                 {"not_run", reply.not_run_ ? "yes" : "no"},
                 {"reason", reply.error_.message_}});
    batcher_.Failed(call,
                    reply.not_run_ ? StageBatcher::CallFailure::kRefused
                                   : StageBatcher::CallFailure::kLost,
                    now);
  }
  Pump(now);
}

// Replies name no call, so their contents must identify it.
ReplyOwner StagePool::OwnerOf(uint64_t call,
                              const std::string& server,
                              absl::Span<const StagePiece> pieces,
                              const StageReplyHead& head,
                              const Reply& reply) {
  const absl::Span<const StagePieceResult> results =
      reply.results_ ? absl::MakeConstSpan(*reply.results_)
                     : absl::Span<const StagePieceResult>();
  const auto match = reply_check_.Take(results, pieces, SteadyNow());
  if (match == StageReplyCheck::Match::kOwn) {
    return ReplyOwner::kThisCall;
  }
  // The first reply on a connection cannot belong to another call.
  if (match == StageReplyCheck::Match::kAmbiguous || !head.reused_connection_) {
    return ReplyOwner::kAssumed;
  }
  const bool was_seen = match == StageReplyCheck::Match::kDuplicateHandle;
  log_->Write("stages", "reply of another call",
              {{"service", name_},
               {"server", server},
               {"call", call},
               {"pieces", static_cast<uint64_t>(pieces.size())},
               {"results", static_cast<uint64_t>(results.size())},
               {"why", was_seen ? "seen before" : "other size"}});
  return ReplyOwner::kOtherCall;
}

void StagePool::LogIncompletePieces(
    uint64_t call,
    const std::string& server,
    const std::vector<StagePieceResult>& results) {
  using Outcome = StagePieceResult::Outcome;
  const auto count = [&results](Outcome outcome) {
    return static_cast<uint64_t>(std::count_if(
        results.begin(), results.end(),
        [outcome](const auto& result) { return result.outcome_ == outcome; }));
  };
  if (count(Outcome::kDone) == results.size()) {
    return;
  }
  log_->Write("stages", "pieces not made",
              {{"service", name_},
               {"server", server},
               {"call", call},
               {"pieces", static_cast<uint64_t>(results.size())},
               {"late", count(Outcome::kLate)},
               {"input_gone", count(Outcome::kInputGone)},
               {"no_room", count(Outcome::kOutOfCapacity)},
               {"failed", count(Outcome::kFailed)}});
}

void StagePool::TakeFailure(uint64_t call,
                            const std::string& server,
                            CallOutcome outcome) {
  const TimePoint now = SteadyNow();
  reach_->OnCallEnd(outcome);
  const bool not_sent = outcome == CallOutcome::kConnectFailed;
  log_->Write("stages", "call failed",
              {{"service", name_},
               {"server", server},
               {"call", call},
               {"sent", not_sent ? "no" : "yes"},
               {"outcome", ToString(outcome)}});
  batcher_.Failed(call,
                  not_sent ? StageBatcher::CallFailure::kNotSent
                           : StageBatcher::CallFailure::kLost,
                  now);
  Pump(now);
}

void StagePool::SendUnwanted(TimePoint now) {
  for (auto& [address, handles] : batcher_.TakeDiscardedResults()) {
    auto& unsent = unsent_frees_[address];
    unsent.insert(unsent.end(), handles.begin(), handles.end());
  }
  for (auto it = unsent_frees_.begin(); it != unsent_frees_.end();) {
    const BackendServer* server = view_->ServerAt(it->first);
    if (server != nullptr && !limits_->backoffs()->MayCall(server->id_, now)) {
      it->second.resize(std::min(it->second.size(), kMaxPostponedFrees));
      ++it;
    } else {
      SendFree(it->first, it->second, now);
      it = unsent_frees_.erase(it);
    }
  }
}

void StagePool::SendFree(const std::string& address,
                         const std::vector<std::string>& handles,
                         TimePoint now) {
  StageCallSpec spec = SpecFor(address, "POST", dialect_->free_results_path_,
                               now + kFreeTimeout);
  // Separate connections: on those of stage calls, a late duplicate reply could
  // be mistaken for the reply to a stage call.
  spec.connection_group_ = " frees";
  spec.headers_.push_back({"Content-Type", "application/json"});
  spec.body_ = dialect_->write_free_results_(handles);
  StageCallHooks hooks;
  hooks.sending_ = [] { return true; };
  hooks.head_ = [](const StageReplyHead&) { return true; };
  hooks.done_ = [](CallOutcome, const std::string&) {};
  // The reply is ignored; the client keeps the call until it ends.
  client_->Start(std::move(spec), std::move(hooks));
}

}  // namespace citronlane
