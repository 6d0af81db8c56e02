#include "citronlane/relay/server_attempt.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "citronlane/base/steady_now.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/observe/metric_names.h"
#include "citronlane/observe/metrics.h"
#include "citronlane/relay/limit_watch.h"
#include "citronlane/relay/reach_watch.h"
#include "citronlane/relay/relay_context.h"
#include "citronlane/relay/waker.h"
#include "citronlane/routing/request_sends.h"
#include "citronlane/serving/dialect.h"
#include "citronlane/transport/stage_call.h"
#include "citronlane/transport/stage_call_hooks.h"
#include "citronlane/transport/stage_client.h"
#include "citronlane/transport/stage_reply_head.h"

namespace citronlane {

struct ServerAttempt::State {
  std::optional<TimePoint> sent_at_;
  bool was_denied_ = false;
  bool has_head_ = false;
  bool is_done_ = false;
  CallOutcome outcome_ = CallOutcome::kCancelled;
  int status_ = 0;
  std::vector<HttpHeader> headers_;
  ServerReplyHead reply_;
  std::string data_;
};

namespace {

constexpr int kFirstFailure = 400;
/// With this many bytes of a body that the handler has not taken, no more is
/// read from the server.
constexpr size_t kMaxUntakenBytes = size_t{64} << 10;

// Servers repeat the request id in each reply, refusals included. A reply
// without it must not be accepted: a server that replies twice sends the
// duplicate where the next reply is expected, and it would reach the next
// caller.
ReplyOwner OwnerOf(const std::string& request_id,
                   const StageReplyHead& head,
                   const ServerReplyHead& reply) {
  if (reply.is_ambiguous_) {
    return ReplyOwner::kUnclear;
  }
  if (reply.request_id_ == request_id) {
    return ReplyOwner::kThisCall;
  }
  if (!reply.request_id_.empty() || head.reused_connection_) {
    return ReplyOwner::kOtherCall;
  }
  // This is the first reply on the connection. A server that could not read the
  // call does not know its id, but its reply cannot be to another call.
  return head.status_ >= kFirstFailure ? ReplyOwner::kAssumed
                                       : ReplyOwner::kUnclear;
}

std::string_view MismatchReason(const ServerReplyHead& reply) {
  if (reply.is_ambiguous_) {
    return "ambiguous";
  }
  return reply.request_id_.empty() ? "no_id" : "other_id";
}

// Distinguishes a server that replies twice from one that omits request ids.
void LogOtherReply(const RelayContext& context,
                   const ServerAttempt::Names& names,
                   const StageReplyHead& head,
                   const ServerReplyHead& reply) {
  context.log_->Write(
      "relay", "reply of another request",
      {{"request", names.request_id_},
       {"server", names.server_},
       {"reply_to", reply.request_id_},
       {"status", head.status_},
       {"not_run", reply.not_run_ ? "yes" : "no"},
       {"why", MismatchReason(reply)},
       {"sealed", reply.sealed_ ? "yes" : "no"},
       {"connection", head.reused_connection_ ? "kept" : "new"}});
  context.metrics_->Count(kOtherRepliesTotal,
                          {MismatchReason(reply), names.service_});
}

}  // namespace

ServerAttempt::ServerAttempt(const RelayContext* context,
                             const std::shared_ptr<Waker>& waker,
                             StageCallSpec spec,
                             Names names,
                             RequestSends* sends)
    : state_(std::make_shared<State>()) {
  const auto state = state_;
  // Other gateways are reached without the links to servers.
  ReachWatch* const reach = names.is_gateway_ ? nullptr : context->reach_;
  const auto note_reply = [reach, address = spec.Endpoint()] {
    if (reach != nullptr) {
      reach->OnReply(address);
    }
  };
  StageCallHooks hooks;
  const ServerBackoffs* const backoffs =
      names.is_gateway_ ? nullptr : context->limits_->backoffs();
  hooks.sending_ = [state, waker, reach, backoffs, sends,
                    server = names.server_] {
    // The connection may have taken long, and the server refused another call
    // meanwhile.
    const bool may_call =
        backoffs == nullptr || backoffs->MayCall(server, SteadyNow());
    state->was_denied_ =
        may_call && sends != nullptr && !sends->OnSending(server);
    if (!may_call || state->was_denied_) {
      state->is_done_ = true;
      waker->Wake();
      return false;
    }
    state->sent_at_ = SteadyNow();
    if (reach != nullptr) {
      reach->OnCall();
    }
    waker->Wake();
    return true;
  };
  const auto note_arrival = [sends, server = names.server_] {
    if (sends != nullptr) {
      sends->OnArrived(server);
    }
  };
  hooks.owner_ = [state, context,
                  names = std::move(names)](const StageReplyHead& head) {
    if (names.is_gateway_) {
      return ReplyOwner::kThisCall;
    }
    state->reply_ = context->dialect_->read_reply_(head.status_, head.headers_);
    const ReplyOwner owner = OwnerOf(names.request_id_, head, state->reply_);
    if (owner != ReplyOwner::kThisCall) {
      LogOtherReply(*context, names, head, state->reply_);
    }
    return owner;
  };
  hooks.head_ = [state, waker, note_reply,
                 note_arrival](const StageReplyHead& head) {
    note_reply();
    note_arrival();
    state->has_head_ = true;
    state->status_ = head.status_;
    state->headers_ = head.headers_;
    waker->Wake();
    return true;
  };
  hooks.data_ = [state, waker, note_reply](std::string_view bytes) {
    note_reply();
    state->data_.append(bytes);
    waker->Wake();
  };
  hooks.has_room_ = [state] { return state->data_.size() < kMaxUntakenBytes; };
  hooks.done_ = [state, waker, note_arrival](CallOutcome outcome,
                                             const std::string&) {
    if (outcome != CallOutcome::kTimeout) {
      note_arrival();
    }
    state->is_done_ = true;
    state->outcome_ = outcome;
    waker->Wake();
  };
  spec.streams_ = true;
  call_ = context->client_->Start(std::move(spec), std::move(hooks));
}

ServerAttempt::~ServerAttempt() {
  Cancel();
}

void ServerAttempt::Cancel() {
  if (call_ && !state_->is_done_) {
    call_->Cancel();
  }
  call_.reset();
}

void ServerAttempt::Reject() {
  Cancel();
  state_->is_done_ = true;
  state_->outcome_ = CallOutcome::kServerError;
}

void ServerAttempt::MarkBroken() {
  state_->outcome_ = CallOutcome::kClosedAfterSend;
}

bool ServerAttempt::was_sent() const {
  return state_->sent_at_.has_value();
}

bool ServerAttempt::was_denied() const {
  return state_->was_denied_;
}

std::optional<TimePoint> ServerAttempt::sent_at() const {
  return state_->sent_at_;
}

bool ServerAttempt::has_head() const {
  return state_->has_head_;
}

bool ServerAttempt::is_done() const {
  return state_->is_done_;
}

CallOutcome ServerAttempt::outcome() const {
  return state_->outcome_;
}

int ServerAttempt::status() const {
  return state_->status_;
}

const std::vector<HttpHeader>& ServerAttempt::headers() const {
  return state_->headers_;
}

const ServerReplyHead& ServerAttempt::reply() const {
  return state_->reply_;
}

bool ServerAttempt::ends_with_connection() const {
  return std::none_of(
      state_->headers_.begin(), state_->headers_.end(),
      [](const HttpHeader& header) {
        return absl::EqualsIgnoreCase(header.name_, "Content-Length") ||
               absl::EqualsIgnoreCase(header.name_, "Transfer-Encoding");
      });
}

std::string ServerAttempt::TakeData() {
  std::string data = std::exchange(state_->data_, {});
  if (call_) {
    call_->ReadOn();
  }
  return data;
}

bool ServerAttempt::has_data() const {
  return !state_->data_.empty();
}

}  // namespace citronlane
