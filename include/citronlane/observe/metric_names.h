#ifndef CITRONLANE_OBSERVE_METRIC_NAMES_H_
#define CITRONLANE_OBSERVE_METRIC_NAMES_H_

#include "citronlane/observe/metric.h"

namespace citronlane {

namespace metric_labels {

inline constexpr std::string_view kClassAccountOutcome[] = {"class", "account",
                                                            "outcome"};
inline constexpr std::string_view kReasonClassAccount[] = {"reason", "class",
                                                           "account"};
inline constexpr std::string_view kClassAccount[] = {"class", "account"};
inline constexpr std::string_view kReasonPool[] = {"reason", "pool"};
inline constexpr std::string_view kPoolOutcome[] = {"pool", "outcome"};
inline constexpr std::string_view kPoolKind[] = {"pool", "kind"};
inline constexpr std::string_view kPipelineStageClass[] = {"pipeline", "stage",
                                                           "class"};
inline constexpr std::string_view kPipelineStage[] = {"pipeline", "stage"};
inline constexpr std::string_view kClass[] = {"class"};
inline constexpr std::string_view kPool[] = {"pool"};
inline constexpr std::string_view kReason[] = {"reason"};
inline constexpr std::string_view kKind[] = {"kind"};
inline constexpr std::string_view kVersion[] = {"version"};
inline constexpr std::string_view kListenerPhase[] = {"listener", "phase"};

}  // namespace metric_labels

/// Metrics may be added but never renamed, since dashboards and alerts use
/// their names. docs/reference/METRICS.md lists them.
inline constexpr Metric kRequestsTotal{
    "citronlane_requests_total", Metric::Kind::kCounter,
    "Requests by how they ended: answered, refused or failed.",
    metric_labels::kClassAccountOutcome};
inline constexpr Metric kRefusalsTotal{"citronlane_refusals_total",
                                       Metric::Kind::kCounter,
                                       "Refused or failed requests by reason.",
                                       metric_labels::kReasonClassAccount};
inline constexpr Metric kTargetsMetTotal{
    "citronlane_targets_met_total", Metric::Kind::kCounter,
    "Requests that met every target of their class.",
    metric_labels::kClassAccount};
inline constexpr Metric kTargetsMissedTotal{
    "citronlane_targets_missed_total", Metric::Kind::kCounter,
    "Requests that missed a target of their class, refused ones included.",
    metric_labels::kClassAccount};
inline constexpr Metric kRetriesTotal{
    "citronlane_retries_total", Metric::Kind::kCounter,
    "Stage calls made again, by the reason of the first one's end.",
    metric_labels::kReasonPool};
inline constexpr Metric kHedgesTotal{
    "citronlane_hedges_total", Metric::Kind::kCounter,
    "Second calls beside a slow one, by outcome: won or lost.",
    metric_labels::kPoolOutcome};
inline constexpr Metric kAttemptsTotal{
    "citronlane_attempts_total", Metric::Kind::kCounter,
    "Stage calls by how they ended.", metric_labels::kPoolOutcome};
inline constexpr Metric kResultsDroppedTotal{
    "citronlane_results_dropped_total", Metric::Kind::kCounter,
    "Results that belonged to no open attempt.", metric_labels::kReasonPool};
inline constexpr Metric kStageSeconds{
    "citronlane_stage_seconds", Metric::Kind::kHistogram,
    "Time of one stage, with its retries.", metric_labels::kPipelineStage};
inline constexpr Metric kRequestSeconds{
    "citronlane_request_seconds", Metric::Kind::kHistogram,
    "Time to the whole answer.", metric_labels::kClass};
inline constexpr Metric kFirstTokenSeconds{
    "citronlane_first_token_seconds", Metric::Kind::kHistogram,
    "Time to the first token of a stream.", metric_labels::kClass};
inline constexpr Metric kFirstEventErrorSeconds{
    "citronlane_first_event_error_seconds", Metric::Kind::kHistogram,
    "Difference of the expected and the seen time to an engine's first event.",
    metric_labels::kPool};
inline constexpr Metric kEngineTimeFactor{
    "citronlane_engine_time_factor", Metric::Kind::kGauge,
    "How much longer than their pool engines take: least, median, most.",
    metric_labels::kPoolKind};
inline constexpr Metric kCostTotal{
    "citronlane_cost_micro_units_total", Metric::Kind::kCounter,
    "Cost by stage, in micro-units of the declared costs.",
    metric_labels::kPipelineStageClass};
inline constexpr Metric kTokensTotal{
    "citronlane_tokens_total", Metric::Kind::kCounter,
    "Tokens received from engines.", metric_labels::kPool};
inline constexpr Metric kConnectionsClosedTotal{
    "citronlane_connections_closed_total", Metric::Kind::kCounter,
    "Callers' connections closed by the gateway, by reason.",
    metric_labels::kReason};
inline constexpr Metric kRefusalsUnrecordedTotal{
    "citronlane_refusals_unrecorded_total",
    Metric::Kind::kCounter,
    "Refusals dropped before they reached the journal on control.",
    {}};
inline constexpr Metric kConnections{"citronlane_connections",
                                     Metric::Kind::kGauge,
                                     "Callers' open connections.",
                                     {}};
inline constexpr Metric kRequestsInFlight{"citronlane_requests_in_flight",
                                          Metric::Kind::kGauge,
                                          "Requests being served.",
                                          {}};
inline constexpr Metric kPoolTasks{
    "citronlane_pool_tasks", Metric::Kind::kGauge,
    "Stage tasks in hand in a pool, or part of one, that this gateway runs.",
    metric_labels::kPool};
inline constexpr Metric kServersLimited{
    "citronlane_servers_limited",
    Metric::Kind::kGauge,
    "Backend servers that name a limit on the rate of requests.",
    {}};
inline constexpr Metric kServersBrittle{
    "citronlane_servers_brittle",
    Metric::Kind::kGauge,
    "Backend servers that fall over when they refuse more than some calls.",
    {}};
inline constexpr Metric kServersCold{
    "citronlane_servers_cold",
    Metric::Kind::kGauge,
    "Backend servers that tolerate few requests for now.",
    {}};
inline constexpr Metric kServersInBackoff{
    "citronlane_servers_in_backoff",
    Metric::Kind::kGauge,
    "Backend servers that want no calls of this gateway for now.",
    {}};
inline constexpr Metric kRequestsBlocked{
    "citronlane_requests_blocked",
    Metric::Kind::kGauge,
    "Requests, by content, that no server gets because servers crashed.",
    {}};
inline constexpr Metric kReady{"citronlane_ready",
                               Metric::Kind::kGauge,
                               "1 when new work is taken, else 0.",
                               {}};
inline constexpr Metric kLoopLagSeconds{
    "citronlane_loop_lag_seconds",
    Metric::Kind::kGauge,
    "How late the event loop gets to work that is ready.",
    {}};
inline constexpr Metric kProcessorUse{
    "citronlane_processor_use",
    Metric::Kind::kGauge,
    "Fraction of the VM's processor in use; 0 when not known.",
    {}};
inline constexpr Metric kLinkUse{
    "citronlane_link_use",
    Metric::Kind::kGauge,
    "Fraction of the VM's link in use; 0 when not known.",
    {}};
inline constexpr Metric kPartitionsOwned{
    "citronlane_partitions_owned",
    Metric::Kind::kGauge,
    "Pools, or partitions of pools, that this gateway owns.",
    {}};
inline constexpr Metric kConfigUpdatesTotal{
    "citronlane_config_updates_total", Metric::Kind::kCounter,
    "Configurations received, as a difference or as a whole document.",
    metric_labels::kKind};
inline constexpr Metric kConfigVersion{"citronlane_config_version",
                                       Metric::Kind::kGauge,
                                       "Version of the configuration applied.",
                                       {}};
inline constexpr Metric kBuildInfo{
    "citronlane_build_info", Metric::Kind::kGauge,
    "1, labelled with the program's version.", metric_labels::kVersion};
inline constexpr Metric kMetricSeriesDroppedTotal{
    "citronlane_metric_series_dropped_total",
    Metric::Kind::kCounter,
    "Updates counted under the label value \"other\" because a metric had too "
    "many series.",
    {}};

inline constexpr Metric kServerEntriesUnusableTotal{
    "citronlane_server_entries_unusable_total",
    Metric::Kind::kCounter,
    "Entries of the platform's server list that named no server to use, "
    "counted when they came.",
    {}};

inline constexpr Metric kOtherRepliesTotal{
    "citronlane_other_replies_total", Metric::Kind::kCounter,
    "Replies of backend servers that did not name the request they came for, "
    "by reason: other_id, no_id or ambiguous.",
    metric_labels::kReasonPool};

inline constexpr Metric kForwardedTotal{
    "citronlane_forwarded_total", Metric::Kind::kCounter,
    "Requests forwarded to other gateways, by outcome: ended, not_taken or "
    "lost.",
    metric_labels::kReason};

inline constexpr Metric kStreamsTakenUpTotal{
    "citronlane_streams_taken_up_total", Metric::Kind::kCounter,
    "Streams that callers took up, by who knew what began them, or by why they "
    "were refused.",
    metric_labels::kReason};

inline constexpr Metric kUnansweredTotal{
    "citronlane_unanswered_total", Metric::Kind::kCounter,
    "Requests read completely whose connection closed before their whole "
    "response, by reason: caller_gone, broken_off or no_response.",
    metric_labels::kReason};
inline constexpr Metric kFirstSendsTotal{
    "citronlane_first_sends_total", Metric::Kind::kCounter,
    "Requests for a service, or tasks of stages, that are no repeats.",
    metric_labels::kPoolKind};
inline constexpr Metric kRepeatsTotal{
    "citronlane_repeats_total", Metric::Kind::kCounter,
    "Calls, or tasks of stages, sent to a service again.",
    metric_labels::kPoolKind};
inline constexpr Metric kRepeatsDeniedTotal{
    "citronlane_repeats_denied_total", Metric::Kind::kCounter,
    "Repeats for which the budget had nothing left when they were due.",
    metric_labels::kPoolKind};
inline constexpr Metric kRepeatsInWindow{
    "citronlane_repeats_in_window", Metric::Kind::kGauge,
    "Repeats that this gateway counts in the present window.",
    metric_labels::kPoolKind};
inline constexpr Metric kRepeatBound{
    "citronlane_repeat_bound", Metric::Kind::kGauge,
    "Repeats that this gateway may count in a window.",
    metric_labels::kPoolKind};
inline constexpr Metric kPlacesLostTotal{
    "citronlane_places_lost_total", Metric::Kind::kCounter,
    "Callers' connections closed because others needed their place.",
    metric_labels::kListenerPhase};

/// All metrics, in the order in which Metrics::Text() writes them.
inline constexpr const Metric* kAllMetrics[] = {
    &kRequestsTotal,
    &kRefusalsTotal,
    &kTargetsMetTotal,
    &kTargetsMissedTotal,
    &kRetriesTotal,
    &kHedgesTotal,
    &kAttemptsTotal,
    &kResultsDroppedTotal,
    &kStageSeconds,
    &kRequestSeconds,
    &kFirstTokenSeconds,
    &kFirstEventErrorSeconds,
    &kEngineTimeFactor,
    &kCostTotal,
    &kTokensTotal,
    &kConnectionsClosedTotal,
    &kRefusalsUnrecordedTotal,
    &kConnections,
    &kRequestsInFlight,
    &kPoolTasks,
    &kServersLimited,
    &kServersBrittle,
    &kServersCold,
    &kServersInBackoff,
    &kRequestsBlocked,
    &kReady,
    &kLoopLagSeconds,
    &kProcessorUse,
    &kLinkUse,
    &kPartitionsOwned,
    &kConfigUpdatesTotal,
    &kConfigVersion,
    &kBuildInfo,
    &kMetricSeriesDroppedTotal,
    &kServerEntriesUnusableTotal,
    &kOtherRepliesTotal,
    &kForwardedTotal,
    &kStreamsTakenUpTotal,
    &kUnansweredTotal,
    &kPlacesLostTotal,
    &kFirstSendsTotal,
    &kRepeatsTotal,
    &kRepeatsDeniedTotal,
    &kRepeatsInWindow,
    &kRepeatBound,
};

}  // namespace citronlane

#endif  // CITRONLANE_OBSERVE_METRIC_NAMES_H_
