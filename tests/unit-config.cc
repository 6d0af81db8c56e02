#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "citronlane/config/parse_cluster_config.h"
#include "citronlane/json/object_reader.h"

namespace citronlane {
namespace {

constexpr char kGood[] = R"({
  // Two classes.
  "classes": {
    "chat": {"first_token_ms": 1200, "answer_ms": 8000, "attainment": 0.95,
             "spend_per_request": 90, "spend_per_hour": 1e6},
    "night": {"answer_ms": 60000, "batch": true}},
  "accounts": {
    "shop": {"key_digests": ["0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"],
             "default_class": "chat", "classes": ["chat", "night"]}},
  "pools": {
    "models": {"kind": "engine", "checks_fencing": true, "cost_per_token": 0.5,
      "servers": {"m1": {"address": "10.0.0.1", "port": 80,
                         "failure_domain": "a"}}},
    "till": {"kind": "service", "reports_load": false,
             "rejection_means_not_run": true, "cost_per_call": 2,
             "servers": {}}},
  "pipelines": {
    "ask": {"deadline_ms": 8000, "non_idempotent": true, "stages": [
      {"name": "write", "pool": "models", "model": "m", "max_tokens": 64,
       "non_idempotent": true}]}},
  "services": {
    "till": {"pool": "till", "deadline_ms": 500, "routes": [
      {"method": "POST", "prefix": "/orders", "non_idempotent": true}]}}
})";

std::vector<std::string> FaultsOf(const std::string& document) {
  std::vector<Fault> faults;
  CHECK_FALSE(ParseClusterConfig(document, 1, &faults));
  return FormatFaults(faults);
}

}  // namespace

TEST_CASE("configuration") {
  SECTION("is parsed completely") {
    std::vector<Fault> faults;
    const auto config = ParseClusterConfig(kGood, 7, &faults);
    INFO(faults.size() << (faults.empty() ? "" : faults[0].message_));
    REQUIRE(config);
    CHECK(config->version_ == 7);
    const ClassConfig& chat = config->classes_.at("chat");
    CHECK(chat.first_token_target_ == std::chrono::milliseconds(1200));
    CHECK(chat.answer_target_ == std::chrono::seconds(8));
    CHECK(chat.spend_per_hour_ == 1e6);
    CHECK(config->classes_.at("night").batch_);
    CHECK_FALSE(config->classes_.at("night").spend_per_hour_);
    CHECK(config->accounts_.at("shop").classes_.size() == 2);
    const PoolConfig& models = config->pools_.at("models");
    CHECK(models.kind_ == StageKind::kEngine);
    CHECK(models.checks_fencing_);
    CHECK(models.servers_.at("m1").port_ == 80);
    CHECK_FALSE(config->pools_.at("till").reports_load_);
    const PipelineConfig& ask = config->pipelines_.at("ask");
    CHECK(ask.non_idempotent_);
    CHECK(ask.stages_.at(0).max_tokens_ == 64);
    CHECK(config->services_.at("till").routes_.at(0).non_idempotent_);
  }
  SECTION("may be empty") {
    std::vector<Fault> faults;
    CHECK(ParseClusterConfig("{}", 1, &faults));
  }
  SECTION("reports all validation errors at once, in document order") {
    const std::vector<std::string> found = FaultsOf(R"({
  "classes": {
    "chat": {"answer_ms": "soon", "attainment": 1.5, "weight": 3},
    "chat": {"answer_ms": 1},
    "slow": {"first_token_ms": 20, "answer_ms": 10}},
  "accounts": {
    "shop": {"key_digests": ["0ABC"], "default_class": "gold",
             "classes": ["chat", "silver"]}},
  "pools": {
    "p": {"kind": "gpu",
      "servers": {"s 1": {"address": "localhost", "port": 70000}}},
    "q": {"kind": "service", "servers": []}},
  "pipelines": {
    "ask": {"deadline_ms": 0.5, "stages": [
      {"name": "a", "pool": "nowhere"},
      {"name": "a", "pool": "q"}]},
    "none": {"deadline_ms": 10, "stages": []}},
  "services": {
    "till": {"pool": "p", "deadline_ms": 10, "routes": [
      {"method": "FETCH", "prefix": "x"}]}},
  "extra": 1
})");
    const std::vector<std::string> wanted = {
        "classes.chat.answer_ms: line 3: must be a number from 1 to 3600000",
        "classes.chat.attainment: line 3: must be a number from 0 to 1, is 1.5",
        "classes.chat.weight: line 3: unknown key; allowed are: ",
        "classes.chat: line 4: duplicate name",
        "classes.slow.first_token_ms: line 5: must not be above answer_ms",
        "accounts.shop.key_digests: line 7: must be SHA-256 digests",
        "accounts.shop.default_class: line 7: no member of \"classes\"",
        "accounts.shop.default_class: line 7: must be one of the account's",
        "accounts.shop.classes: line 8: no member of \"classes\"",
        "pools.p.kind: line 10: must be one of: encoder, retriever, ",
        "pools.p.servers.s 1: line 11: the name must be 1 to 64 letters",
        "pools.p.servers.s 1.address: line 11: must be an IP number",
        "pools.p.servers.s 1.port: line 11: must be a number from 1 to 65535",
        "pools.p.servers.s 1.failure_domain: line 11: missing",
        "pools.q.servers: line 12: must be an object keyed by name",
        "pipelines.ask.deadline_ms: line 14: must be a number from 1 to",
        "pipelines.ask.stages[0].pool: line 15: no member of \"pools\"",
        "pipelines.ask.stages[1].name: line 16: another stage",
        "pipelines.ask.stages[1].pool: line 16: must be a pool of kind",
        "pipelines.none.stages: line 17: must have 1 to 6 items, has 0",
        "services.till.routes[0].method: line 20: must be one of: GET, ",
        "services.till.routes[0].prefix: line 20: must start with '/'",
        "extra: line 21: unknown key; allowed are: classes, accounts",
    };
    for (size_t i = 0; i < std::min(found.size(), wanted.size()); ++i) {
      CHECK_THAT(found[i], Catch::StartsWith(wanted[i]));
    }
    CHECK(found.size() == wanted.size());
  }
  SECTION("reports exactly one validation error for each single change") {
    struct Row {
      std::string find_;
      std::string replace_;
      std::string fault_;
    };
    const std::vector<Row> rows = {
        {"\"model\": \"m\", ", "", "pipelines.ask.stages[0].model: "},
        {"\"port\": 80", "\"port\": -1", "pools.models.servers.m1.port: "},
        {"10.0.0.1", "backend-1", "pools.models.servers.m1.address: "},
        {"\"till\", \"deadline_ms\"", "\"models\", \"deadline_ms\"",
         "services.till.pool: "},
        {"\"batch\": true", "\"batch\": 1", "classes.night.batch: "},
        {"[\"chat\", \"night\"]", "[\"chat\", \"chat\"]",
         "accounts.shop.classes[1]: "},
        {"\"servers\": {}", "\"servers\": {\"x\": 1}",
         "pools.till.servers.x: "},
    };
    for (const Row& row : rows) {
      std::string document = kGood;
      const size_t position = document.find(row.find_);
      REQUIRE(position != std::string::npos);
      document.replace(position, row.find_.size(), row.replace_);
      const std::vector<std::string> found = FaultsOf(document);
      REQUIRE(found.size() == 1);
      CHECK_THAT(found[0], Catch::StartsWith(row.fault_));
    }
  }
}

}  // namespace citronlane
