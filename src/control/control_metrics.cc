#include "citronlane/control/detail/control_metrics.h"

#include <cstdint>
#include <string_view>

#include "citronlane/control/detail/control_state.h"
#include "citronlane/control/detail/feed_counts.h"
#include "citronlane/fleet/config_propagation.h"

namespace citronlane {
namespace {

void AppendMetric(std::string_view name,
                  std::string_view type,
                  std::string_view help,
                  uint64_t value,
                  std::string* text) {
  const std::string full = "citronlane_control_" + std::string(name);
  *text += "# HELP " + full + " " + std::string(help) + "\n# TYPE " + full +
           " " + std::string(type) + "\n" + full + " " + std::to_string(value) +
           "\n";
}

}  // namespace

std::string ControlMetricsText(const ReplicaStatus& status,
                               ControlState& state) {
  std::string text;
  AppendMetric("leads", "gauge", "1 on the leader with its lease, else 0.",
               status.role_ == Role::kLeader && status.leader_lease_ ? 1 : 0,
               &text);
  AppendMetric("failed", "gauge", "1 when the disk can not be trusted, else 0.",
               status.failed_ || state.is_broken() ? 1 : 0, &text);
  AppendMetric("term", "gauge", "Term of the replicated log.", status.term_,
               &text);
  AppendMetric("commit_index", "gauge", "Newest committed entry known here.",
               status.commit_index_, &text);
  AppendMetric("syncs_total", "counter", "Syncs of the log since the start.",
               status.sync_count_, &text);
  AppendMetric("watchers", "gauge", "Gateways that watch here.",
               state.feed().watchers(), &text);
  state.View([&text](const StateMachine& machine) {
    AppendMetric("applied_index", "gauge", "Newest entry applied here.",
                 machine.applied_index(), &text);
    AppendMetric("config_version", "gauge", "Version of the configuration.",
                 machine.config().version(), &text);
    AppendMetric("gateways", "gauge", "Registered gateways.",
                 machine.gateways().gateways().size(), &text);
    AppendMetric("claims", "gauge",
                 "Keys of non-idempotent requests remembered.",
                 machine.claims().size(), &text);
    AppendMetric("answer_bytes", "gauge", "Bytes of stored answers.",
                 machine.claims().answer_bytes(), &text);
    AppendMetric("refusals", "gauge", "Refusals in the journal.",
                 machine.refusals().size(), &text);
    AppendMetric("refusals_dropped_total", "counter",
                 "Refusals dropped from the journal, here or on their gateway.",
                 machine.refusals().dropped_here() +
                     machine.refusals().dropped_by_gateways(),
                 &text);
  });
  return text;
}

std::string FeedMetricsText(bool leads,
                            const ConfigPropagation& propagation,
                            const FeedCounts& counts) {
  std::string text;
  AppendMetric("leads", "gauge", "1 on the leader with its lease, else 0.",
               leads ? 1 : 0, &text);
  AppendMetric("watchers", "gauge", "Gateways that watch here.",
               propagation.gateways_, &text);
  AppendMetric("config_version", "gauge", "Version of the configuration.",
               propagation.newest_, &text);
  AppendMetric("config_lowest_version", "gauge",
               "Lowest version that a gateway that watches here holds.",
               propagation.lowest_, &text);
  AppendMetric("config_gateways_behind", "gauge",
               "Gateways that watch here and hold an older version.",
               propagation.behind_, &text);
  AppendMetric("requests_blocked", "gauge",
               "Requests, by content, that no server gets because servers "
               "crashed.",
               counts.blocked_requests_, &text);
  AppendMetric("cold_times_invalid", "gauge",
               "Servers of the last list read here whose cold time can't be "
               "read.",
               counts.invalid_cold_times_, &text);
  AppendMetric("drain_orders_unknown_domain_total", "counter",
               "Orders to drain a failure domain that no listed server is in.",
               counts.unknown_domain_orders_, &text);
  return text;
}

}  // namespace citronlane
