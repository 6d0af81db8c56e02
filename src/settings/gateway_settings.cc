#include "citronlane/settings/gateway_settings.h"

#include <algorithm>
#include <utility>

#include "citronlane/json/object_reader.h"
#include "citronlane/settings/detail/shared_settings.h"
#include "citronlane/settings/files.h"

namespace citronlane {
namespace {

using Need = ObjectReader::Need;

constexpr uint64_t kMaxPort = 65535;
constexpr uint64_t kMaxThreads = 256;
constexpr uint64_t kMaxMilliseconds = 3'600'000;
constexpr uint64_t kMinLeaseMs = 500;
constexpr uint64_t kMaxLeaseMs = 4000;
constexpr uint64_t kMaxConnections = 1'000'000;
constexpr uint64_t kMinCallerMemoryBytes = 4ULL * 1024 * 1024;
constexpr uint64_t kMaxCallerMemoryBytes = 1ULL << 40;
constexpr uint64_t kMinReceiveBufferBytes = 4096;
constexpr uint64_t kMaxReceiveBufferBytes = 64ULL * 1024 * 1024;
constexpr uint64_t kMinHeaderBytes = 1024;
constexpr uint64_t kMaxHeaderBytes = 1024ULL * 1024;
constexpr uint64_t kMinBodyBytes = 1024;
constexpr uint64_t kMaxBodyBytes = 256ULL * 1024 * 1024;
constexpr uint64_t kMaxStoredBytes = 16ULL * 1024 * 1024;
constexpr uint64_t kMaxBacklogRefusals = 1'000'000;
constexpr size_t kMinReceiptKeyLength = 16;

void ReadLimits(ObjectReader& reader, HttpLimits* limits) {
  reader.Whole("header_bytes", Need::kOptional, kMinHeaderBytes,
               kMaxHeaderBytes, &limits->header_bytes_);
  reader.Whole("body_bytes", Need::kOptional, kMinBodyBytes, kMaxBodyBytes,
               &limits->body_bytes_);
  reader.Whole("connections", Need::kOptional, 1, kMaxConnections,
               &limits->connections_);
  reader.Whole("refused_connections", Need::kOptional, 1, kMaxConnections,
               &limits->refused_connections_);
  reader.Whole("memory_bytes", Need::kOptional, kMinCallerMemoryBytes,
               kMaxCallerMemoryBytes, &limits->memory_bytes_);
  reader.Whole("receive_buffer_bytes", Need::kOptional, kMinReceiveBufferBytes,
               kMaxReceiveBufferBytes, &limits->receive_buffer_bytes_);
  reader.Milliseconds("read_timeout_ms", Need::kOptional, 1, kMaxMilliseconds,
                      &limits->read_timeout_);
  reader.Milliseconds("idle_timeout_ms", Need::kOptional, 1, kMaxMilliseconds,
                      &limits->idle_timeout_);
  reader.Milliseconds("write_timeout_ms", Need::kOptional, 1, kMaxMilliseconds,
                      &limits->write_timeout_);
}

void ReadStageLimits(ObjectReader& reader, StageLimits* limits) {
  reader.Whole("reply_header_bytes", Need::kOptional, kMinHeaderBytes,
               kMaxHeaderBytes, &limits->reply_header_bytes_);
  reader.Whole("reply_body_bytes", Need::kOptional, kMinBodyBytes,
               kMaxBodyBytes, &limits->reply_body_bytes_);
  reader.Milliseconds("connect_timeout_ms", Need::kOptional, 1,
                      kMaxMilliseconds, &limits->connect_timeout_);
  reader.Milliseconds("read_timeout_ms", Need::kOptional, 1, kMaxMilliseconds,
                      &limits->read_timeout_);
  reader.Whole("idle_connections", Need::kOptional, 0, kMaxConnections,
               &limits->idle_connections_);
  reader.Milliseconds("idle_timeout_ms", Need::kOptional, 1, kMaxMilliseconds,
                      &limits->idle_timeout_);
}

// Reads the source of the configuration: exactly one of "control" and
// "bootstrap_config" must be set.
void ReadControl(const std::string& path,
                 ObjectReader& reader,
                 GatewayOptions* options) {
  const bool has_control = reader.Endpoints("control", Need::kOptional,
                                            &options->control_addresses_);
  const bool has_file = reader.String("bootstrap_config", Need::kOptional,
                                      &options->bootstrap_config_);
  if (has_file) {
    options->bootstrap_config_ = ResolvePath(path, options->bootstrap_config_);
    Error error;
    if (!ReadFile(options->bootstrap_config_, &error)) {
      reader.AddFault("bootstrap_config", error.message_);
    }
  }
  if (has_control && has_file) {
    reader.AddFault("bootstrap_config",
                    "not allowed beside control, which has the configuration");
  } else if (!has_file && options->control_addresses_.empty()) {
    reader.AddFault("control",
                    "must name the control VMs as [\"IP:port\", ...]; allowed "
                    "without it is only bootstrap_config");
  }
}

void ReadReceiptKey(const std::string& path,
                    ObjectReader& reader,
                    GatewayOptions* options) {
  std::string file;
  if (!reader.String("receipt_key_file", Need::kOptional, &file)) {
    return;
  }
  Error error;
  const std::optional<std::string> key =
      ReadKeyFile(ResolvePath(path, file), &error);
  if (!key) {
    reader.AddFault("receipt_key_file", error.message_);
  } else if (key->size() < kMinReceiptKeyLength) {
    reader.AddFault("receipt_key_file",
                    "the key must have at least " +
                        std::to_string(kMinReceiptKeyLength) + " characters");
  } else {
    options->receipt_key_ = *key;
  }
}

void ReadTimes(ObjectReader& reader, GatewayOptions* options) {
  reader.Milliseconds("drain_notice_ms", Need::kOptional, 0, kMaxMilliseconds,
                      &options->drain_notice_);
  reader.Milliseconds("drain_limit_ms", Need::kOptional, 0, kMaxMilliseconds,
                      &options->drain_limit_);
  reader.Milliseconds("config_lease_ms", Need::kOptional, kMinLeaseMs,
                      kMaxLeaseMs, &options->config_lease_);
}

void ReadGateway(const std::string& path,
                 ObjectReader& reader,
                 GatewayOptions* options) {
  reader.Name("name", Need::kRequired, &options->name_);
  reader.Name("failure_domain", Need::kRequired, &options->failure_domain_);
  reader.Object("listen", Need::kRequired, [&](ObjectReader& listen) {
    listen.IpAddress("address", Need::kRequired, &options->address_);
    listen.Whole("port", Need::kRequired, 0, kMaxPort, &options->port_);
  });
  reader.Whole("threads", Need::kOptional, 1, kMaxThreads, &options->threads_);
  ReadControl(path, reader, options);
  detail::ReadTls("control_tls", Need::kRequired, path, reader,
                  &options->control_tls_);
  ReadReceiptKey(path, reader, options);
  reader.Object("limits", Need::kOptional, [&](ObjectReader& limits) {
    ReadLimits(limits, &options->http_limits_);
  });
  reader.Object("stage_limits", Need::kOptional, [&](ObjectReader& limits) {
    ReadStageLimits(limits, &options->stage_limits_);
  });
  ReadTimes(reader, options);
  reader.Whole("stored_answer_bytes", Need::kOptional, 0, kMaxStoredBytes,
               &options->stored_answer_bytes_);
  reader.Whole("refusal_backlog", Need::kOptional, 1, kMaxBacklogRefusals,
               &options->refusal_backlog_);
  reader.Number("hedge_budget", Need::kOptional, 0, 1, &options->hedge_budget_);
  reader.Number("retry_budget", Need::kOptional, 0, 1, &options->retry_budget_);
}

}  // namespace

std::optional<GatewaySettings> ParseGatewaySettings(
    std::string_view text,
    const std::string& path,
    std::vector<Fault>* faults) {
  GatewaySettings settings;
  const auto read = [&](ObjectReader& reader) {
    ReadGateway(path, reader, &settings.gateway_);
  };
  if (!detail::ReadSettings(text, "gateway", path, read, &settings.log_,
                            faults)) {
    return std::nullopt;
  }
  return settings;
}

}  // namespace citronlane
