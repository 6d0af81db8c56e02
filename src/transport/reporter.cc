#include "citronlane/transport/detail/reporter.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/transport/detail/leader_call.h"

namespace citronlane {
namespace {

/// Crashes that wait for a report.
constexpr int kMaxCrashes = 256;

using ReportCall = LeaderCall<wire::ReportRequest, wire::ReportReply>;

}  // namespace

Reporter::Reporter(ControlLink* link, const ControlClientHooks& hooks)
    : link_(link), hooks_(hooks) {}

void Reporter::Start() {
  link_->timers_.Post([this] { Tick(); });
}

void Reporter::AddRefusals(std::vector<wire::RefusalRecord> refusals,
                           uint64_t dropped,
                           TimePoint deadline,
                           Done done) {
  if (link_->calls_.is_stopping()) {
    done(false);
    return;
  }
  waiting_.push_back({std::move(refusals), dropped, deadline, std::move(done)});
  link_->timers_.At(deadline, [this] { ExpireBatches(); });
  SendIfIdle();
}

void Reporter::AddLeaving(const std::string& server, uint64_t incarnation) {
  uint64_t& latest = leaving_[server];
  latest = std::max(latest, incarnation);
  SendIfIdle();
}

void Reporter::AddCrashes(const wire::fleet::CrashReports& reports) {
  if (crashes_.crashes_size() < kMaxCrashes) {
    crashes_.MergeFrom(reports);
  }
  SendIfIdle();
}

void Reporter::Tick() {
  if (link_->calls_.is_stopping()) {
    ExpireBatches();
    return;
  }
  SendIfIdle();
  link_->timers_.After(link_->options_.report_interval_, [this] { Tick(); });
}

void Reporter::SendIfIdle() {
  if (in_flight_ || link_->calls_.is_stopping()) {
    return;
  }
  wire::ReportRequest request;
  if (Fill(&request)) {
    in_flight_ = request;
    Send(*in_flight_);
  }
}

// Returns whether there is anything to report.
bool Reporter::Fill(wire::ReportRequest* request) {
  *request->mutable_gateway() = link_->gateway_;
  request->set_sequence(sequence_ + 1);
  std::vector<ClassUsage> used;
  if (hooks_.take_usage_) {
    used = hooks_.take_usage_();
  }
  for (const ClassUsage& usage : used) {
    if (usage.spent_ > 0 || usage.requests_per_second_ > 0) {
      wire::UsageReport* added = request->add_usage();
      added->set_class_name(usage.class_name_);
      added->set_spent(usage.spent_);
      added->set_requests_per_second(usage.requests_per_second_);
    }
  }
  for (const Batch& batch : waiting_) {
    for (const wire::RefusalRecord& refusal : batch.refusals_) {
      *request->add_refusals() = refusal;
    }
    request->set_refusals_dropped(request->refusals_dropped() + batch.dropped_);
  }
  for (const auto& [server, incarnation] : leaving_) {
    wire::LeavingServer* added = request->add_leaving();
    added->set_server(server);
    added->set_incarnation(incarnation);
  }
  const bool has_crashes = crashes_.ByteSizeLong() > 0;
  if (has_crashes) {
    *request->mutable_crashes() = crashes_;
  }
  const bool has_content = request->usage_size() > 0 || !waiting_.empty() ||
                           request->leaving_size() > 0 || has_crashes;
  if (has_content) {
    ++sequence_;
    sent_ = std::exchange(waiting_, {});
    leaving_.clear();
    crashes_.Clear();
  }
  return has_content;
}

void Reporter::Send(const wire::ReportRequest& request) {
  const TimePoint sent = SteadyNow();
  std::make_shared<ReportCall>(
      link_, request,
      [](auto* stub, auto* context, const auto* report, auto* reply,
         auto status) {
        stub->async()->Report(context, report, reply, std::move(status));
      },
      [](const wire::ReportReply& reply) { return reply.accepted(); },
      sent + link_->options_.claim_timeout_,
      [this, sent](const std::optional<wire::ReportReply>& reply) {
        link_->timers_.Post([this, reply, sent] { OnReply(reply, sent); });
      })
      ->Try();
}

void Reporter::OnReply(const std::optional<wire::ReportReply>& reply,
                       TimePoint sent) {
  ExpireBatches();
  if (!reply) {
    // Whether the report was recorded is unknown. Resending it is safe because
    // of its sequence number.
    if (!link_->calls_.is_stopping()) {
      Send(*in_flight_);
    }
    return;
  }
  in_flight_.reset();
  for (const wire::SpendShare& share : reply->shares()) {
    if (hooks_.on_share_) {
      hooks_.on_share_(share.class_name(), share.amount(),
                       sent + std::chrono::milliseconds(share.valid_ms()));
    }
  }
  if (reply->has_suspects() && hooks_.on_suspects_) {
    hooks_.on_suspects_(reply->suspects());
  }
  for (const Batch& batch : std::exchange(sent_, {})) {
    batch.done_(true);
  }
  if (!waiting_.empty() || !leaving_.empty() || crashes_.ByteSizeLong() > 0) {
    SendIfIdle();
  }
}

// Completes batches whose deadline has passed, or all when stopping, with
// false. A report in flight that contains them may still be accepted.
void Reporter::ExpireBatches() {
  const bool all = link_->calls_.is_stopping();
  for (std::vector<Batch>* batches : {&sent_, &waiting_}) {
    std::vector<Batch> kept;
    for (Batch& batch : std::exchange(*batches, {})) {
      if (all || batch.deadline_ <= SteadyNow()) {
        batch.done_(false);
      } else {
        kept.push_back(std::move(batch));
      }
    }
    *batches = std::move(kept);
  }
}

}  // namespace citronlane
