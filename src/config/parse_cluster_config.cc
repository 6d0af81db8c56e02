#include "citronlane/config/parse_cluster_config.h"

#include <algorithm>
#include <array>
#include <limits>
#include <set>
#include <utility>

#include "citronlane/json/object_reader.h"
#include "citronlane/json/parse.h"

namespace citronlane {
namespace {

using Need = ObjectReader::Need;

constexpr uint64_t kMaxMilliseconds = 3'600'000;
constexpr double kMaxSpend = 1e15;
constexpr uint64_t kMaxTokens = 1'000'000;
constexpr uint64_t kMaxTopK = 1000;
constexpr uint64_t kMaxPort = 65535;
constexpr size_t kMaxStages = 6;
constexpr size_t kMaxRoutes = 256;

constexpr std::array<std::string_view, 5> kKinds = {
    "encoder", "retriever", "reranker", "engine", "service"};
constexpr std::array<std::string_view, 7> kMethods = {
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

// Parses one document; each Read* member fills one kind of entry of `config_`.
class Parser {
 public:
  explicit Parser(std::vector<Fault>* faults) : faults_(faults) {}

  void Read(const JsonValue& root);
  ClusterConfig Take() { return std::move(config_); }

 private:
  void ReadClass(const std::string& name, ObjectReader& reader);
  void ReadAccount(const std::string& name, ObjectReader& reader);
  void ReadKeyDigests(ObjectReader& reader, AccountConfig* account);
  void ReadPool(const std::string& name, ObjectReader& reader);
  void ReadServer(const std::string& id,
                  ObjectReader& reader,
                  std::set<std::string>* endpoints,
                  PoolConfig* pool);
  void ReadPipeline(const std::string& name, ObjectReader& reader);
  void ReadStage(ObjectReader& reader, PipelineConfig* pipeline);
  void CheckStage(ObjectReader& reader, const StageConfig& stage);
  void ReadService(const std::string& name, ObjectReader& reader);

  void CheckClass(std::string_view name, std::string_view key, ObjectReader&);

  std::vector<Fault>* const faults_;
  ClusterConfig config_;
  std::set<std::string> key_digests_;
  // Pools with an invalid kind, which is reported once and not again for the
  // stages and services that refer to them.
  std::set<std::string> pools_of_unknown_kind_;
};

std::string UnknownReference(std::string_view section, std::string_view name) {
  return "no member of \"" + std::string(section) + "\" has the name \"" +
         std::string(name) + "\"";
}

// Sections that others refer to are read first. ParseClusterConfig sorts the
// validation errors by line afterwards.
void Parser::Read(const JsonValue& root) {
  ObjectReader reader(root, "", faults_);
  reader.Entries("classes", Need::kOptional,
                 [this](const std::string& name, ObjectReader& entry) {
                   ReadClass(name, entry);
                 });
  reader.Entries("accounts", Need::kOptional,
                 [this](const std::string& name, ObjectReader& entry) {
                   ReadAccount(name, entry);
                 });
  reader.Entries("pools", Need::kOptional,
                 [this](const std::string& name, ObjectReader& entry) {
                   ReadPool(name, entry);
                 });
  reader.Entries("pipelines", Need::kOptional,
                 [this](const std::string& name, ObjectReader& entry) {
                   ReadPipeline(name, entry);
                 });
  reader.Entries("services", Need::kOptional,
                 [this](const std::string& name, ObjectReader& entry) {
                   ReadService(name, entry);
                 });
  reader.Finish();
}

void Parser::ReadClass(const std::string& name, ObjectReader& reader) {
  ClassConfig result;
  result.name_ = name;
  Duration first_token{};
  if (reader.Milliseconds("first_token_ms", Need::kOptional, 1,
                          kMaxMilliseconds, &first_token)) {
    result.first_token_target_ = first_token;
  }
  const bool has_answer =
      reader.Milliseconds("answer_ms", Need::kRequired, 1, kMaxMilliseconds,
                          &result.answer_target_);
  if (has_answer && first_token > result.answer_target_) {
    reader.AddFault("first_token_ms", "must not be above answer_ms");
  }
  reader.Number("attainment", Need::kOptional, 0, 1, &result.attainment_);
  double spend = 0;
  if (reader.Number("spend_per_request", Need::kOptional, 0, kMaxSpend,
                    &spend)) {
    result.spend_per_request_ = spend;
  }
  if (reader.Number("spend_per_hour", Need::kOptional, 0, kMaxSpend, &spend)) {
    result.spend_per_hour_ = spend;
  }
  reader.Bool("batch", &result.batch_);
  config_.classes_[name] = std::move(result);
}

void Parser::CheckClass(std::string_view name,
                        std::string_view key,
                        ObjectReader& reader) {
  if (config_.classes_.count(std::string(name)) == 0) {
    reader.AddFault(key, UnknownReference("classes", name));
  }
}

void Parser::ReadAccount(const std::string& name, ObjectReader& reader) {
  AccountConfig result;
  result.name_ = name;
  ReadKeyDigests(reader, &result);
  if (reader.String("default_class", Need::kRequired, &result.default_class_)) {
    CheckClass(result.default_class_, "default_class", reader);
  }
  reader.Strings("classes", Need::kOptional, &result.classes_);
  for (const std::string& allowed : result.classes_) {
    CheckClass(allowed, "classes", reader);
  }
  if (!result.classes_.empty() && !result.default_class_.empty() &&
      std::find(result.classes_.begin(), result.classes_.end(),
                result.default_class_) == result.classes_.end()) {
    reader.AddFault("default_class", "must be one of the account's classes");
  }
  config_.accounts_[name] = std::move(result);
}

void Parser::ReadKeyDigests(ObjectReader& reader, AccountConfig* account) {
  reader.Strings("key_digests", Need::kRequired, &account->key_digests_);
  for (const std::string& digest : account->key_digests_) {
    if (!IsDigest(digest)) {
      reader.AddFault("key_digests",
                      "must be SHA-256 digests: 64 digits 0-9, a-f");
    } else if (!key_digests_.insert(digest).second) {
      reader.AddFault("key_digests",
                      "a key may belong to one client account only");
    }
  }
}

void Parser::ReadPool(const std::string& name, ObjectReader& reader) {
  PoolConfig result;
  result.name_ = name;
  std::string kind;
  if (reader.Choice("kind", Need::kRequired, kKinds, &kind)) {
    result.kind_ = *ParseStageKind(kind);
  } else {
    pools_of_unknown_kind_.insert(name);
  }
  reader.Bool("reports_load", &result.reports_load_);
  reader.Bool("checks_fencing", &result.checks_fencing_);
  reader.Bool("rejection_means_not_run", &result.rejection_means_not_run_);
  reader.Number("cost_per_call", Need::kOptional, 0, kMaxSpend,
                &result.cost_per_call_);
  reader.Number("cost_per_token", Need::kOptional, 0, kMaxSpend,
                &result.cost_per_token_);
  std::set<std::string> endpoints;
  reader.Entries("servers", Need::kRequired,
                 [&](const std::string& id, ObjectReader& entry) {
                   ReadServer(id, entry, &endpoints, &result);
                 });
  config_.pools_[name] = std::move(result);
}

void Parser::ReadServer(const std::string& id,
                        ObjectReader& reader,
                        std::set<std::string>* endpoints,
                        PoolConfig* pool) {
  ServerConfig result;
  result.id_ = id;
  const bool has_address =
      reader.IpAddress("address", Need::kRequired, &result.address_);
  const bool has_port =
      reader.Whole("port", Need::kRequired, 1, kMaxPort, &result.port_);
  reader.Name("failure_domain", Need::kRequired, &result.failure_domain_);
  if (has_address && has_port &&
      !endpoints->insert(result.address_ + " " + std::to_string(result.port_))
           .second) {
    reader.AddFault("address",
                    "another server of this pool has this address and port");
  }
  pool->servers_[id] = std::move(result);
}

void Parser::ReadPipeline(const std::string& name, ObjectReader& reader) {
  PipelineConfig result;
  result.name_ = name;
  reader.Milliseconds("deadline_ms", Need::kRequired, 1, kMaxMilliseconds,
                      &result.deadline_);
  reader.Bool("non_idempotent", &result.non_idempotent_);
  reader.Items("stages", Need::kRequired, 1, kMaxStages,
               [&](size_t, ObjectReader& item) { ReadStage(item, &result); });
  config_.pipelines_[name] = std::move(result);
}

void Parser::ReadStage(ObjectReader& reader, PipelineConfig* pipeline) {
  StageConfig result;
  if (reader.Name("name", Need::kRequired, &result.name_) &&
      std::any_of(pipeline->stages_.begin(), pipeline->stages_.end(),
                  [&](const StageConfig& other) {
                    return other.name_ == result.name_;
                  })) {
    reader.AddFault("name", "another stage of this pipeline has this name");
  }
  const bool has_pool = reader.String("pool", Need::kRequired, &result.pool_);
  reader.Bool("non_idempotent", &result.non_idempotent_);
  reader.String("model", Need::kOptional, &result.model_);
  reader.Whole("max_tokens", Need::kOptional, 1, kMaxTokens,
               &result.max_tokens_);
  reader.Whole("top_k", Need::kOptional, 1, kMaxTopK, &result.top_k_);
  if (has_pool) {
    CheckStage(reader, result);
  }
  pipeline->stages_.push_back(std::move(result));
}

void Parser::CheckStage(ObjectReader& reader, const StageConfig& stage) {
  const auto pool = config_.pools_.find(stage.pool_);
  if (pool == config_.pools_.end()) {
    reader.AddFault("pool", UnknownReference("pools", stage.pool_));
    return;
  }
  if (pools_of_unknown_kind_.count(stage.pool_) > 0) {
    return;
  }
  const StageKind kind = pool->second.kind_;
  if (kind == StageKind::kService) {
    reader.AddFault("pool",
                    "must be a pool of kind encoder, retriever, reranker or "
                    "engine; plain services have routes under \"services\"");
  }
  if (kind == StageKind::kEngine && stage.model_.empty()) {
    reader.AddFault("model", "missing; required with a pool of kind engine");
  }
}

void Parser::ReadService(const std::string& name, ObjectReader& reader) {
  ServiceConfig result;
  result.name_ = name;
  if (reader.String("pool", Need::kRequired, &result.pool_)) {
    const auto pool = config_.pools_.find(result.pool_);
    if (pool == config_.pools_.end()) {
      reader.AddFault("pool", UnknownReference("pools", result.pool_));
    } else if (pool->second.kind_ != StageKind::kService &&
               pools_of_unknown_kind_.count(result.pool_) == 0) {
      reader.AddFault("pool", "must be a pool of kind service");
    }
  }
  reader.Milliseconds("deadline_ms", Need::kRequired, 1, kMaxMilliseconds,
                      &result.deadline_);
  reader.Items("routes", Need::kOptional, 0, kMaxRoutes,
               [&](size_t, ObjectReader& item) {
                 ServiceRouteConfig route;
                 item.Choice("method", Need::kRequired, kMethods,
                             &route.method_);
                 if (item.String("prefix", Need::kRequired, &route.prefix_) &&
                     route.prefix_.front() != '/') {
                   item.AddFault("prefix", "must start with '/'");
                 }
                 item.Bool("non_idempotent", &route.non_idempotent_);
                 result.routes_.push_back(std::move(route));
               });
  config_.services_[name] = std::move(result);
}

}  // namespace

std::optional<ClusterConfig> ParseClusterConfig(std::string_view document,
                                                uint64_t version,
                                                std::vector<Fault>* faults) {
  faults->clear();
  const std::optional<JsonValue> root = ParseJsonCollecting(document, faults);
  if (!root) {
    return std::nullopt;
  }
  Parser parser(faults);
  parser.Read(*root);
  if (!faults->empty()) {
    std::stable_sort(
        faults->begin(), faults->end(),
        [](const Fault& a, const Fault& b) { return a.line_ < b.line_; });
    return std::nullopt;
  }
  ClusterConfig config = parser.Take();
  config.version_ = version;
  return config;
}

}  // namespace citronlane
