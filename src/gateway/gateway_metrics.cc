#include "citronlane/gateway/gateway_metrics.h"

#include "citronlane/gateway/gateway.h"
#include "citronlane/observe/metric_names.h"
#include "citronlane/observe/metrics.h"

namespace citronlane {
namespace {

/// Whether a refusal counts as a missed target of the class. It doesn't if the
/// caller caused it: a bad request (1xx), its account (2xx) or its idempotency
/// key (6xx).
bool CountsAsMissedTarget(RefusalReason reason) {
  constexpr int kReasonsPerGroup = 100;
  switch (static_cast<int>(reason) / kReasonsPerGroup) {
    case 1:
    case 2:
    case 6:
      return false;
    default:
      return true;
  }
}

}  // namespace

GatewayMetrics::GatewayMetrics(Metrics* metrics) : metrics_(metrics) {}

GatewayEvents GatewayMetrics::Events() {
  GatewayEvents events;
  events.on_refusal_ = [this](const RefusalEntry& entry, bool admitted) {
    OnRefusal(entry, admitted);
  };
  events.on_unrecorded_ = [this](uint64_t count) {
    metrics_->Count(kRefusalsUnrecordedTotal, {}, static_cast<double>(count));
  };
  events.on_request_ = [this](const RequestSummary& summary) {
    OnRequest(summary);
  };
  events.on_call_ = [this](std::string_view pool, CallOutcome outcome,
                           uint32_t tokens) {
    metrics_->Count(kAttemptsTotal, {pool, ToString(outcome)});
    if (tokens > 0) {
      metrics_->Count(kTokensTotal, {pool}, tokens);
    }
  };
  events.on_retry_ = [this](std::string_view pool, RetryReason reason) {
    metrics_->Count(kRetriesTotal, {ToString(reason), pool});
  };
  events.on_hedge_ = [this](std::string_view pool, bool won) {
    metrics_->Count(kHedgesTotal, {pool, won ? "won" : "lost"});
  };
  events.on_drop_ = [this](std::string_view pool, std::string_view why) {
    metrics_->Count(kResultsDroppedTotal, {why, pool});
  };
  events.on_unread_ = [this](RefusalReason reason) {
    metrics_->Count(kConnectionsClosedTotal, {ToString(reason)});
  };
  events.on_place_lost_ = [this](std::string_view phase) {
    metrics_->Count(kPlacesLostTotal, {"callers", phase});
  };
  return events;
}

std::string GatewayMetrics::Text(const Gateway& gateway) {
  const auto set = [this](const Metric& metric, double value) {
    metrics_->Set(metric, {}, value);
  };
  set(kConnections, static_cast<double>(gateway.connections()));
  set(kRequestsInFlight, static_cast<double>(gateway.requests_in_flight()));
  set(kReady, gateway.ready() ? 1 : 0);
  set(kConfigVersion, static_cast<double>(gateway.config_version()));
  return metrics_->Text();
}

void GatewayMetrics::OnRequest(const RequestSummary& summary) {
  const std::string_view outcome = summary.complete_ ? "answered" : "failed";
  metrics_->Count(kRequestsTotal,
                  {summary.class_name_, summary.account_, outcome});
  if (summary.complete_) {
    metrics_->Observe(kRequestSeconds, {summary.class_name_},
                      summary.answer_time_);
  }
  if (summary.first_token_time_) {
    metrics_->Observe(kFirstTokenSeconds, {summary.class_name_},
                      *summary.first_token_time_);
  }
  CountTarget(summary);
  CountCosts(summary);
}

void GatewayMetrics::CountTarget(const RequestSummary& summary) {
  // A caller that disconnects has neither met nor missed its target.
  if (!summary.complete_ && summary.reason_ == RefusalReason::kCallerGone) {
    return;
  }
  metrics_->Count(summary.met_target_ ? kTargetsMetTotal : kTargetsMissedTotal,
                  {summary.class_name_, summary.account_});
}

void GatewayMetrics::CountCosts(const RequestSummary& summary) {
  for (const StageCost& stage : summary.costs_) {
    if (stage.calls_ > 0) {
      metrics_->Count(kCostTotal,
                      {summary.target_, stage.stage_, summary.class_name_},
                      stage.cost_);
    }
    if (stage.time_) {
      metrics_->Observe(kStageSeconds, {summary.target_, stage.stage_},
                        *stage.time_);
    }
  }
}

void GatewayMetrics::OnRefusal(const RefusalEntry& entry, bool admitted) {
  metrics_->Count(kRefusalsTotal,
                  {ToString(entry.reason_), entry.class_name_, entry.account_});
  if (admitted || entry.class_name_.empty()) {
    return;
  }
  metrics_->Count(kRequestsTotal,
                  {entry.class_name_, entry.account_, "refused"});
  if (CountsAsMissedTarget(entry.reason_)) {
    metrics_->Count(kTargetsMissedTotal, {entry.class_name_, entry.account_});
  }
}

}  // namespace citronlane
