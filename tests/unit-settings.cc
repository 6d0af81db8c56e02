#include <sys/stat.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "citronlane/json/object_reader.h"
#include "citronlane/settings/control_settings.h"
#include "citronlane/settings/files.h"
#include "citronlane/settings/gateway_settings.h"

namespace citronlane {
namespace {

// A folder that is removed at destruction.
class TemporaryFolder {
 public:
  TemporaryFolder()
      : path_(std::filesystem::temp_directory_path() /
              ("unit-settings-" + std::to_string(getpid()))) {
    std::filesystem::create_directories(path_);
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  std::string Write(const std::string& name,
                    const std::string& text,
                    mode_t mode) const {
    std::string path = (path_ / name).string();
    std::ofstream(path) << text;
    chmod(path.c_str(), mode);
    return path;
  }
  std::string file() const { return (path_ / "settings.json").string(); }

 private:
  const std::filesystem::path path_;
};

// A change to valid settings, and the start of the error that it must cause.
struct Break {
  std::string find_;
  std::string replace_;
  std::string fault_;
};

std::string Replaced(std::string text, const Break& change) {
  const size_t position = text.find(change.find_);
  REQUIRE(position != std::string::npos);
  return text.replace(position, change.find_.size(), change.replace_);
}

template <typename Parse>
void CheckBreaks(const Parse& parse,
                 const std::string& good,
                 const std::vector<Break>& breaks) {
  std::vector<Fault> faults;
  for (const Break& change : breaks) {
    CHECK_FALSE(parse(Replaced(good, change), &faults));
    const std::vector<std::string> lines = FormatFaults(faults);
    REQUIRE(lines.size() == 1);
    CHECK_THAT(lines[0], Catch::StartsWith(change.fault_));
  }
}

constexpr char kGateway[] = R"({
  "gateway": {
    "name": "gw1", "failure_domain": "a",
    "listen": {"address": "10.0.0.1", "port": 8080},
    "control": ["10.0.0.1:7000", "[::1]:7000"],
    "receipt_key_file": "receipt.key",
    "limits": {"body_bytes": 2048, "read_timeout_ms": 250},
    "stage_limits": {"connect_timeout_ms": 20},
    "drain_notice_ms": 0,
    "retry_budget": 0.2
  },
  "log": {"level": "warn", "layout": "json", "file": "gw.log"}
})";

constexpr char kControl[] = R"({
  "control": {
    "id": 2,
    "peers": [
      {"id": 1, "replication": "10.0.0.1:1", "control": "10.0.0.1:2", "admin": "10.0.0.1:3"},
      {"id": 2, "replication": "10.0.0.2:1", "control": "10.0.0.2:2", "admin": "10.0.0.2:3"}],
    "data_dir": "data",
    "operators": [{"name": "ana", "role": "change", "key_digest": "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"}],
    "vm_list": {"address": "10.9.0.1:80", "interval_ms": 250},
    "weight_store": {"loads_per_second": 0.5, "burst": 3},
    "retention": {"claim_ms": 60000},
    "election": {"timeout_ms": 400, "leader_lease_ms": 300},
    "gateway_timeout_ms": 9000
  }
})";

}  // namespace

TEST_CASE("gateway settings") {
  const TemporaryFolder folder;
  folder.Write("receipt.key", " 0123456789abcdef \n", 0600);
  const auto parse = [&](const std::string& text, std::vector<Fault>* faults) {
    return ParseGatewaySettings(text, folder.file(), faults);
  };
  std::vector<Fault> faults;

  SECTION("are read whole") {
    const auto settings = parse(kGateway, &faults);
    REQUIRE(settings);
    const GatewayOptions& gateway = settings->gateway_;
    CHECK(gateway.name_ == "gw1");
    CHECK(gateway.port_ == 8080);
    CHECK(gateway.control_addresses_.size() == 2);
    CHECK(gateway.receipt_key_ == "0123456789abcdef");
    CHECK(gateway.http_limits_.body_bytes_ == 2048);
    CHECK(gateway.stage_limits_.connect_timeout_ ==
          std::chrono::milliseconds(20));
    CHECK(gateway.drain_notice_ == Duration(0));
    CHECK(gateway.retry_budget_ == 0.2);
    CHECK(settings->log_.level_ == LogLevel::kWarn);
    CHECK(settings->log_.layout_ == LogOptions::Layout::kJson);
    CHECK(settings->log_.file_ == ResolvePath(folder.file(), "gw.log"));
  }
  SECTION("report all validation errors at once") {
    CHECK_FALSE(parse(R"({
  "gateway": {"name": "a b", "threads": 0, "colour": 1,
    "listen": {"address": "localhost"},
    "control": ["host:1"]},
  "log": {"level": "loud"},
  "contrl": {}
})",
                      &faults));
    const std::vector<std::string> found = FormatFaults(faults);
    const std::vector<std::string> wanted = {
        "gateway.name: line 2: must be 1 to 64",
        "gateway.failure_domain: line 2: missing",
        "gateway.threads: line 2: must be a number from 1 to 256, is 0",
        "gateway.colour: line 2: unknown key; allowed are: name, failure_",
        "gateway.listen.address: line 3: must be an IP number",
        "gateway.listen.port: line 3: missing",
        "gateway.control[0]: line 4: must be \"IP:port\"",
        "gateway.control: line 4: must name the control VMs",
        "log.level: line 5: must be one of: debug, info, warn, error",
        "contrl: line 6: unknown key; allowed are: gateway, log",
    };
    REQUIRE(found.size() == wanted.size());
    for (size_t i = 0; i < wanted.size(); ++i) {
      CHECK_THAT(found[i], Catch::StartsWith(wanted[i]));
    }
  }
  SECTION("name the fault of each single break") {
    folder.Write("open.key", "0123456789abcdef", 0640);
    folder.Write("short.key", "0123", 0600);
    folder.Write("config.json", "{}", 0644);
    const std::string path = "gateway.receipt_key_file: line 6: ";
    CheckBreaks(
        parse, kGateway,
        {{"receipt.key", "open.key",
          path + "file " + ResolvePath(folder.file(), "open.key") +
              ": others than its owner may use it"},
         {"receipt.key", "short.key", path + "the key must have at least 16"},
         {"receipt.key", "none.key",
          path + "file " + ResolvePath(folder.file(), "none.key") +
              ": No such file"},
         {"\"drain_notice_ms\"",
          "\"bootstrap_config\": \"config.json\", \"drain_notice_ms\"",
          "gateway.bootstrap_config: line 9: not allowed beside control"},
         {"\"retry_budget\": 0.2",
          "\"control_tls\": {\"certificate\": \"short.key\", "
          "\"private_key\": \"short.key\"}",
          "gateway.control_tls.ca: line 10: missing"},
         {"\"retry_budget\": 0.2", "\"config_lease_ms\": 5000",
          "gateway.config_lease_ms: line 10: must be a number from 500 to "
          "4000, is 5000"}});
  }
  SECTION("may name a configuration file instead of control VMs") {
    folder.Write("config.json", "{}", 0644);
    const auto settings = parse(
        Replaced(kGateway, {"\"control\": [\"10.0.0.1:7000\", \"[::1]:7000\"]",
                            "\"bootstrap_config\": \"config.json\"", ""}),
        &faults);
    REQUIRE(settings);
    CHECK(settings->gateway_.control_addresses_.empty());
    CHECK(settings->gateway_.bootstrap_config_ ==
          ResolvePath(folder.file(), "config.json"));
  }
}

TEST_CASE("control settings") {
  const TemporaryFolder folder;
  const auto parse = [&](const std::string& text, std::vector<Fault>* faults) {
    return ParseControlSettings(text, folder.file(), faults);
  };

  SECTION("are read whole") {
    std::vector<Fault> faults;
    const auto settings = parse(kControl, &faults);
    REQUIRE(settings);
    const ControlOptions& control = settings->control_;
    CHECK(control.replica_.raft_.id_ == 2);
    CHECK(control.replica_.raft_.election_timeout_ ==
          std::chrono::milliseconds(400));
    CHECK(control.replica_.data_dir_ == ResolvePath(folder.file(), "data"));
    CHECK(control.peers_.at(1).admin_ == "10.0.0.1:3");
    CHECK_FALSE(control.join_);
    CHECK(control.operators_.at(0).operator_ == "ana");
    CHECK(control.operators_.at(0).role_ == OperatorRole::kChange);
    CHECK(control.platform_ == "10.9.0.1:80");
    CHECK(control.weight_store_burst_ == 3);
    CHECK(control.limits_.claim_retention_ms_ == 60000);
    CHECK(control.gateway_timeout_ == std::chrono::seconds(9));
  }
  SECTION("name the fault of each single break") {
    folder.Write("tls.pem", "x", 0644);
    const std::string tls = R"("internal_tls": {"certificate": "tls.pem",
      "private_key": "tls.pem", "ca": "tls.pem"}, "gateway_timeout_ms")";
    CheckBreaks(
        parse, kControl,
        {{"\"id\": 2,\n", "\"id\": 9,\n", "control.id: line 3: must be the id"},
         {"{\"id\": 1", "{\"id\": 2",
          "control.peers[1].id: line 6: another peer has this id"},
         {"10.0.0.2:3", "10.0.0.1:3",
          "control.peers[1].admin: line 6: appears twice"},
         {"\"change\"", "\"root\"", "control.operators[0].role: line 8: must"},
         {"0123456789abcdef", "0123456789ABCDEF",
          "control.operators[0].key_digest: line 8: must be a SHA-256"},
         {"\"leader_lease_ms\": 300", "\"leader_lease_ms\": 400",
          "control.election.leader_lease_ms: line 12: must be below"},
         {"\"gateway_timeout_ms\"", tls,
          "control.internal_tls.private_key: line 14: file " +
              ResolvePath(folder.file(), "tls.pem") +
              ": others than its owner may use it"},
         {"\"burst\"", "\"brust\"",
          "control.weight_store.brust: line 10: unknown key; allowed are: "
          "loads_per_second, burst"}});
  }
}

TEST_CASE("settings files") {
  const TemporaryFolder folder;
  Error error;
  CHECK_FALSE(ReadFile("/nowhere/at/all", &error));
  CHECK(error.message_ == "file /nowhere/at/all: No such file or directory");
  CHECK_FALSE(ReadFile("/", &error));
  CHECK(error.message_ == "file /: not a regular file");
  CHECK_FALSE(ReadKeyFile(folder.Write("empty", " \n", 0600), &error));
  CHECK_THAT(error.message_, Catch::EndsWith("empty: empty"));
}

}  // namespace citronlane
