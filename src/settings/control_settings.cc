#include "citronlane/settings/control_settings.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "citronlane/json/object_reader.h"
#include "citronlane/settings/detail/shared_settings.h"
#include "citronlane/settings/files.h"

namespace citronlane {
namespace {

using Need = ObjectReader::Need;

constexpr uint64_t kMaxId = 1'000'000;
constexpr size_t kMaxPeers = 7;
constexpr size_t kMaxOperators = 1000;
constexpr uint64_t kMaxMilliseconds = 3'600'000;
constexpr uint64_t kMaxRetentionMs = 366ULL * 24 * 3600 * 1000;
constexpr uint64_t kMinLeaseMs = 500;
constexpr uint64_t kMaxLeaseMs = 4000;
constexpr uint64_t kMinHeartbeatMs = 5;
constexpr uint64_t kMaxElectionMs = 10'000;
constexpr uint64_t kMaxCount = 100'000'000;
constexpr uint64_t kMaxAnswerBytes = 16ULL * 1024 * 1024;
constexpr uint64_t kMaxTotalBytes = 4ULL * 1024 * 1024 * 1024;
constexpr uint64_t kMaxHistoryVersions = 10'000;
constexpr double kMaxLoadsPerSecond = 1000;
constexpr uint64_t kMaxBurstLoads = 1000;
constexpr std::array<std::string_view, 2> kRoles = {"read", "change"};

void ReadPeer(ObjectReader& reader,
              std::set<std::string>* endpoints,
              ControlOptions* options) {
  uint64_t id = 0;
  ControlPeer peer;
  const bool has_id = reader.Whole("id", Need::kRequired, 1, kMaxId, &id);
  const auto read_endpoint = [&](std::string_view key, std::string* out) {
    if (reader.Endpoint(key, Need::kRequired, out) &&
        !endpoints->insert(*out).second) {
      reader.AddFault(key, "appears twice among the peers");
    }
  };
  read_endpoint("replication", &peer.replication_);
  read_endpoint("control", &peer.control_);
  read_endpoint("admin", &peer.admin_);
  if (has_id && !options->peers_.emplace(id, std::move(peer)).second) {
    reader.AddFault("id", "another peer has this id");
  }
}

void ReadPeers(ObjectReader& reader, ControlOptions* options) {
  const bool has_id = reader.Whole("id", Need::kRequired, 1, kMaxId,
                                   &options->replica_.raft_.id_);
  std::set<std::string> endpoints;
  const bool has_peers = reader.Items(
      "peers", Need::kRequired, 1, kMaxPeers,
      [&](size_t, ObjectReader& item) { ReadPeer(item, &endpoints, options); });
  if (has_id && has_peers &&
      options->peers_.count(options->replica_.raft_.id_) == 0) {
    reader.AddFault("id", "must be the id of one of the peers");
  }
  reader.Bool("join", &options->join_);
}

void ReadOperator(ObjectReader& reader, ControlOptions* options) {
  OperatorKey key;
  std::string role;
  reader.Name("name", Need::kRequired, &key.operator_);
  if (reader.String("key_digest", Need::kRequired, &key.digest_)) {
    const bool taken = std::any_of(
        options->operators_.begin(), options->operators_.end(),
        [&](const OperatorKey& other) { return other.digest_ == key.digest_; });
    if (!IsDigest(key.digest_)) {
      reader.AddFault("key_digest",
                      "must be a SHA-256 digest: 64 digits 0-9, a-f");
    } else if (taken) {
      reader.AddFault("key_digest", "another operator has this key");
    }
  }
  if (reader.Choice("role", Need::kRequired, kRoles, &role)) {
    key.role_ = role == "change" ? OperatorRole::kChange : OperatorRole::kRead;
  }
  options->operators_.push_back(std::move(key));
}

void ReadRetention(ObjectReader& reader, StateLimits* limits) {
  reader.Whole("history_versions", Need::kOptional, 1, kMaxHistoryVersions,
               &limits->history_versions_);
  reader.Whole("change_id_ms", Need::kOptional, 1, kMaxRetentionMs,
               &limits->change_id_window_ms_);
  reader.Whole("claim_ms", Need::kOptional, 1, kMaxRetentionMs,
               &limits->claim_retention_ms_);
  reader.Whole("released_claim_ms", Need::kOptional, 1, kMaxRetentionMs,
               &limits->release_retention_ms_);
  reader.Whole("claims", Need::kOptional, 1, kMaxCount, &limits->max_claims_);
  reader.Whole("answer_bytes", Need::kOptional, 0, kMaxAnswerBytes,
               &limits->answer_bytes_);
  reader.Whole("total_answer_bytes", Need::kOptional, 0, kMaxTotalBytes,
               &limits->total_answer_bytes_);
  reader.Whole("refusals", Need::kOptional, 1, kMaxCount, &limits->refusals_);
}

// A leader's lease must expire before another VM can be elected, so that there
// are never two leaders.
void ReadElection(ObjectReader& reader, RaftOptions* raft) {
  reader.Milliseconds("heartbeat_ms", Need::kOptional, kMinHeartbeatMs,
                      kMaxElectionMs, &raft->heartbeat_interval_);
  reader.Milliseconds("leader_lease_ms", Need::kOptional, kMinHeartbeatMs,
                      kMaxElectionMs, &raft->leader_lease_);
  reader.Milliseconds("timeout_ms", Need::kOptional, kMinHeartbeatMs,
                      kMaxElectionMs, &raft->election_timeout_);
  if (raft->heartbeat_interval_ >= raft->leader_lease_) {
    reader.AddFault("heartbeat_ms", "must be below leader_lease_ms");
  }
  if (raft->leader_lease_ >= raft->election_timeout_) {
    reader.AddFault("leader_lease_ms", "must be below timeout_ms");
  }
}

void ReadPlatform(ObjectReader& reader, ControlOptions* options) {
  reader.Object("vm_list", Need::kOptional, [&](ObjectReader& list) {
    list.Endpoint("address", Need::kRequired, &options->platform_);
    list.Milliseconds("interval_ms", Need::kOptional, 1, kMaxMilliseconds,
                      &options->platform_interval_);
  });
  reader.Object("weight_store", Need::kOptional, [&](ObjectReader& store) {
    store.Number("loads_per_second", Need::kOptional, 0, kMaxLoadsPerSecond,
                 &options->weight_store_rate_);
    store.Whole("burst", Need::kOptional, 1, kMaxBurstLoads,
                &options->weight_store_burst_);
  });
}

void ReadServing(ObjectReader& reader, ControlOptions* options) {
  reader.Milliseconds("config_lease_ms", Need::kOptional, kMinLeaseMs,
                      kMaxLeaseMs, &options->config_lease_);
  reader.Milliseconds("gateway_timeout_ms", Need::kOptional, kMaxLeaseMs,
                      kMaxMilliseconds, &options->gateway_timeout_);
  reader.Milliseconds("spend_lease_ms", Need::kOptional, kMinLeaseMs,
                      kMaxMilliseconds, &options->spend_lease_);
  reader.Whole("max_watchers", Need::kOptional, 1, kMaxCount,
               &options->max_watchers_);
  reader.Whole("max_pending_calls", Need::kOptional, 1, kMaxCount,
               &options->max_pending_calls_);
}

void ReadControl(const std::string& path,
                 ObjectReader& reader,
                 ControlOptions* options) {
  ReadPeers(reader, options);
  if (reader.String("data_dir", Need::kRequired,
                    &options->replica_.data_dir_)) {
    options->replica_.data_dir_ =
        ResolvePath(path, options->replica_.data_dir_);
  }
  reader.Items(
      "operators", Need::kOptional, 0, kMaxOperators,
      [&](size_t, ObjectReader& item) { ReadOperator(item, options); });
  ReadPlatform(reader, options);
  reader.Object("retention", Need::kOptional, [&](ObjectReader& retention) {
    ReadRetention(retention, &options->limits_);
  });
  reader.Object("election", Need::kOptional, [&](ObjectReader& election) {
    ReadElection(election, &options->replica_.raft_);
  });
  reader.Whole("snapshot_interval", Need::kOptional, 1, kMaxCount,
               &options->replica_.snapshot_interval_);
  ReadServing(reader, options);
  detail::ReadTls("internal_tls", Need::kRequired, path, reader,
                  &options->internal_tls_);
  detail::ReadTls("admin_tls", Need::kOptional, path, reader,
                  &options->admin_tls_);
}

}  // namespace

std::optional<ControlSettings> ParseControlSettings(
    std::string_view text,
    const std::string& path,
    std::vector<Fault>* faults) {
  ControlSettings settings;
  const auto read = [&](ObjectReader& reader) {
    ReadControl(path, reader, &settings.control_);
  };
  if (!detail::ReadSettings(text, "control", path, read, &settings.log_,
                            faults)) {
    return std::nullopt;
  }
  return settings;
}

}  // namespace citronlane
