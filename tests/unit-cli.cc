#include <sys/stat.h>
#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "citronlane/cli/run.h"
#include "citronlane/gateway/receipt.h"
#include "citronlane/gateway/refusal_entry.h"
#include "citronlane/json/parse.h"

namespace citronlane {
namespace {

namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

struct Response {
  int status_ = 200;
  std::string body_;
  std::string location_ = "";
};

// A control VM that sends prepared responses, one per connection, and records
// the requests. Status 0 closes the connection without a response.
class FakeControl {
 public:
  explicit FakeControl(std::deque<Response> responses)
      : responses_(std::move(responses)),
        acceptor_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        thread_([this] { Serve(); }) {}
  ~FakeControl() { Join(); }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  // Waits until all responses are sent; returns "METHOD target body" lines.
  const std::vector<std::string>& Join() {
    if (thread_.joinable()) {
      thread_.join();
    }
    return requests_;
  }

 private:
  void Serve() {
    for (const Response& prepared : responses_) {
      Tcp::socket socket = acceptor_.accept();
      boost::beast::flat_buffer buffer;
      http::request<http::string_body> request;
      boost::system::error_code failure;
      http::read(socket, buffer, request, failure);
      std::ostringstream line;
      line << request.method_string() << ' ' << request.target() << ' '
           << request.body();
      requests_.push_back(line.str());
      if (prepared.status_ == 0) {
        continue;
      }
      http::response<http::string_body> response(
          static_cast<http::status>(prepared.status_), 11);
      if (!prepared.location_.empty()) {
        response.set(http::field::location, prepared.location_);
      }
      response.body() = prepared.body_;
      response.prepare_payload();
      http::write(socket, response, failure);
    }
  }

  const std::deque<Response> responses_;
  boost::asio::io_context context_;
  Tcp::acceptor acceptor_;
  std::vector<std::string> requests_;
  std::thread thread_;
};

struct Outcome {
  ExitCode code_;
  std::string out_;
  std::string err_;
};

Outcome Run(const std::vector<std::string>& arguments) {
  std::ostringstream out;
  std::ostringstream err;
  const ExitCode code = RunCommandLine(arguments, out, err);
  return {code, out.str(), err.str()};
}

// Writes a file that is removed at destruction.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text,
                         const std::string& name = "file.json")
      : path_("/tmp/unit-cli-" + std::to_string(getpid()) + "-" + name) {
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { std::remove(path_.c_str()); }
  const std::string& path() const { return path_; }

 private:
  const std::string path_;
};

std::string Member(const std::string& request, const std::string& name) {
  Fault fault;
  const auto body = ParseJson(request.substr(request.find('{')), &fault);
  REQUIRE(body);
  return WriteJson(*body->Find(name));
}

}  // namespace

TEST_CASE("command line") {
  SECTION("prints help for each command, and exits by the documented codes") {
    for (const char* command :
         {"gateway", "control", "check", "config", "status", "explain",
          "version", "member", "drain", "order", "verify"}) {
      const Outcome outcome = Run({command, "--help"});
      CHECK(outcome.code_ == ExitCode::kSuccess);
      CHECK_THAT(outcome.out_, Catch::Contains("Exit codes: 0 success, 1"));
    }
    CHECK(Run({"--version"}).code_ == ExitCode::kSuccess);
    CHECK(Run({}).code_ == ExitCode::kUsage);
    CHECK(Run({"fly"}).code_ == ExitCode::kUsage);
    CHECK(Run({"gateway"}).code_ == ExitCode::kUsage);
    CHECK(Run({"config", "apply"}).code_ == ExitCode::kUsage);
    CHECK_THAT(Run({"version", "--json"}).out_,
               Catch::StartsWith("{\"version\":\""));
  }
  SECTION("check prints every fault and exits 2") {
    const TemporaryFile file("{\"classes\": {\n\"a\": {\"x\": 1}}}");
    const Outcome text = Run({"check", file.path()});
    CHECK(text.code_ == ExitCode::kUsage);
    CHECK_THAT(text.err_,
               Catch::Contains(file.path() + ": classes.a.answer_ms: line 2:"));
    CHECK_THAT(text.err_, Catch::Contains("classes.a.x: line 2: unknown key"));
    const Outcome json = Run({"check", "--json", file.path()});
    CHECK(json.code_ == ExitCode::kUsage);
    CHECK_THAT(json.out_,
               Catch::Contains("\"path\":\"classes.a.x\",\"line\":2"));
    CHECK(Run({"check", "/nowhere/at/all"}).code_ == ExitCode::kUsage);
  }
  SECTION("check knows the kinds of files") {
    const TemporaryFile file("{\"gateway\": {}}");
    CHECK_THAT(Run({"check", file.path()}).err_,
               Catch::Contains("gateway.name: line 1: missing"));
  }
  SECTION("processes refuse invalid settings with 2 before they start") {
    const TemporaryFile file("{\"gateway\": 1,\n \"log\": {\"level\": 3}}");
    const Outcome outcome = Run({"gateway", "--settings", file.path()});
    CHECK(outcome.code_ == ExitCode::kUsage);
    CHECK_THAT(outcome.err_, Catch::Contains("gateway: line 1: must be an"));
    CHECK_THAT(outcome.err_, Catch::Contains("log.level: line 2: must be a"));
  }
}

TEST_CASE("recovery of a data folder") {
  namespace fs = std::filesystem;
  const fs::path root = fs::temp_directory_path() /
                        ("citronlane-cli-recover-" + std::to_string(getpid()));
  const fs::path folder = root / "data";
  fs::create_directories(folder);
  std::ofstream(folder / "0000000000000001.wal") << "no log at all";
  const TemporaryFile file(
      R"({"control": {"id": 1, "data_dir": ")" + folder.string() +
      R"(", "peers": [{"id": 1, "replication": "127.0.0.1:1",
      "control": "127.0.0.1:2", "admin": "127.0.0.1:3"}]}})");

  const Outcome report =
      Run({"control", "--settings", file.path(), "--recover"});
  CHECK(report.code_ == ExitCode::kSuccess);
  CHECK_THAT(report.out_, Catch::Contains("Would rename "));
  CHECK_THAT(report.out_, Catch::Contains("Nothing was changed"));
  CHECK(fs::exists(folder));
  CHECK(Run({"control", "--settings", file.path(), "--apply"}).code_ ==
        ExitCode::kUsage);

  CHECK(Run({"control", "--settings", file.path(), "--recover", "--apply"})
            .code_ == ExitCode::kSuccess);
  CHECK_FALSE(fs::exists(folder));
  CHECK(fs::exists(root / "data.damaged-1"));
  fs::remove_all(root);
}

TEST_CASE("receipts") {
  RefusalEntry entry;
  entry.id_ = "gw1-1-r2";
  entry.reason_ = RefusalReason::kFairShare;
  entry.gateway_ = "gw1-1";
  entry.time_ms_ = 1796238344859;
  entry.figures_ = {{"limit", 0.75}};
  const std::string key = "0123456789abcdef";
  const std::string body =
      R"({"reason":303,"verdict":"not_run","refusal_id":"gw1-1-r2",)"
      R"("account":"","class":"","target":"","gateway":"gw1-1",)"
      R"("config_version":0,"time_ms":1796238344859,"figures":{"limit":0.75},)"
      R"("receipt":")" +
      SignReceipt(entry, key) + "\"}";
  const TemporaryFile key_file(key, "receipt.key");
  chmod(key_file.path().c_str(), S_IRUSR);
  const auto verify = [&key_file](const std::string& text) {
    const TemporaryFile answer(text);
    return Run({"verify", answer.path(), "--receipt-key-file", key_file.path()})
        .code_;
  };

  SECTION("of unchanged responses are genuine") {
    CHECK(verify(body) == ExitCode::kSuccess);
  }
  SECTION("do not match a response with any change") {
    for (const auto& [from, to] :
         std::vector<std::pair<const char*, const char*>>{
             {"303", "302"},
             {"not_run", "may_have_run"},
             {"not_run", "x"},
             {"r2", "r3"},
             {"\"account\":\"\"", "\"account\":\"a\""},
             {"0.75", "0.5"},
             {"859,", "860,"},
             {"\"gw1-1\"", "\"gw2-1\""}}) {
      std::string changed = body;
      changed.replace(changed.find(from), std::string(from).size(), to);
      INFO(changed);
      CHECK(verify(changed) == ExitCode::kFailure);
    }
  }
}

TEST_CASE("administration client") {
  SECTION("sends a change again with the same id until it has a response") {
    FakeControl control({{200, R"({"version":4})"},
                         {0, ""},
                         {503, "{}"},
                         {200, R"({"outcome":"committed","version":5})"}});
    const TemporaryFile patch(R"({"classes":{"chat":null}})");
    const Outcome outcome =
        Run({"config", "apply", "--patch", patch.path(), "--reason", "less",
             "--admin", control.address()});
    const std::vector<std::string>& requests = control.Join();
    CHECK(outcome.code_ == ExitCode::kSuccess);
    CHECK_THAT(outcome.out_, Catch::Contains("version: 5"));
    REQUIRE(requests.size() == 4);
    CHECK(requests[0] == "GET /v1/config ");
    CHECK_THAT(requests[1], Catch::StartsWith("POST /v1/config/changes {"));
    CHECK(Member(requests[1], "base_version") == "4");
    CHECK(Member(requests[1], "patch") == R"({"classes":{"chat":null}})");
    CHECK(Member(requests[1], "change_id") == Member(requests[3], "change_id"));
  }
  SECTION("follows redirects to the leader, and tries the next address") {
    FakeControl leader({{200, R"({"term":3})"}});
    FakeControl follower(
        {{307, "", "http://" + leader.address() + "/v1/status"}});
    const Outcome outcome = Run(
        {"status", "--json", "--admin", "127.0.0.1:1," + follower.address()});
    CHECK(outcome.code_ == ExitCode::kSuccess);
    CHECK_THAT(outcome.out_,
               Catch::Contains(R"({"address":"127.0.0.1:1","error":)"));
    CHECK_THAT(outcome.out_, Catch::EndsWith("{\"term\":3}]}\n"));
    CHECK(leader.Join().at(0) == "GET /v1/status ");
  }
  SECTION("sums the gateways' metrics") {
    const std::string metrics =
        "# TYPE citronlane_targets_met_total counter\n"
        "citronlane_targets_met_total{class=\"chat\",account=\"a\\\"b\"} 3\n"
        "citronlane_targets_missed_total{class=\"chat\",account=\"a\\\"b\"} "
        "1\n"
        "citronlane_cost_micro_units_total{pipeline=\"p\",stage=\"s\","
        "class=\"chat\"} 2.5\n"
        "citronlane_ready 1\ncitronlane_targets_met_total{class=\"x\n";
    FakeControl control({{200, "{}"}});
    FakeControl first({{200, metrics}});
    FakeControl second({{200, metrics}});
    const Outcome outcome =
        Run({"status", "--json", "--admin", control.address(), "--gateways",
             first.address() + "," + second.address()});
    CHECK_THAT(
        outcome.out_,
        Catch::Contains(
            R"("attainment":[{"class":"chat","account":"a\"b","met":6,"missed":2,)"
            R"("share":0.75}],"cost_by_stage":[{"pipeline":"p","stage":"s",)"
            R"("class":"chat","micro_units":5}])"));
  }
  SECTION("gives orders under an id of their own") {
    FakeControl control({{0, ""}, {200, "{}"}});
    CHECK(Run({"order", "submit", "engine-1", "--kind", "load_model", "--model",
               "draft", "--version", "7", "--admin", control.address()})
              .code_ == ExitCode::kSuccess);
    const std::string& sent = control.Join()[1];
    CHECK_THAT(sent, Catch::StartsWith("POST /v1/servers/engine-1/orders {"));
    CHECK(Member(sent, "order_id") == Member(control.Join()[0], "order_id"));
    CHECK(Member(sent, "version") == "\"7\"");
  }
  SECTION("shows a conflict and fails") {
    FakeControl control(
        {{409, R"({"outcome":"conflict","winner_operator":"ana"})"}});
    const TemporaryFile document("{}");
    const Outcome outcome =
        Run({"config", "apply", "--document", document.path(), "--reason", "x",
             "--base", "3", "--admin", control.address()});
    CHECK(outcome.code_ == ExitCode::kFailure);
    CHECK_THAT(outcome.err_, Catch::Contains("control answered 409: conflict"));
    CHECK_THAT(outcome.err_, Catch::Contains("winner_operator: ana"));
  }
  SECTION("waits until the change is in force everywhere") {
    FakeControl control({{200, R"({"version":9})"},
                         {200, R"({"in_force":false})"},
                         {200, R"({"in_force":true,"waited_out":["gw2"]})"}});
    const Outcome outcome =
        Run({"config", "rollback", "7", "--reason", "x", "--base", "8",
             "--wait", "--admin", control.address()});
    CHECK(outcome.code_ == ExitCode::kSuccess);
    CHECK_THAT(outcome.out_, Catch::Contains("version 9 is in force"));
    CHECK_THAT(outcome.out_, Catch::Contains("lease of gateway gw2;"));
    CHECK(Member(control.Join()[0], "version") == "7");
    CHECK(control.Join()[2] == "GET /v1/config/status?version=9 ");
  }
  SECTION("explains a refusal") {
    FakeControl control({{200, R"({"id":"gw1-1-2","reason":303})"}});
    const Outcome outcome =
        Run({"explain", "gw1-1-2", "--admin", control.address()});
    CHECK_THAT(outcome.out_, Catch::Contains("name: fair_share"));
    CHECK(Run({"explain", "a/b", "--admin", "127.0.0.1:1"}).code_ ==
          ExitCode::kUsage);
  }
  SECTION("changes the control VMs and drains backend servers") {
    FakeControl control(
        {{200, "{}"}, {409, R"({"detail":"not yet"})"}, {200, "{}"}});
    const std::string& admin = control.address();
    CHECK(Run({"member", "add", "4", "--replication", "10.0.0.4:1", "--control",
               "10.0.0.4:2", "--admin-address", "10.0.0.4:3", "--admin", admin})
              .code_ == ExitCode::kSuccess);
    CHECK(Run({"member", "promote", "4", "--admin", admin}).err_ ==
          "error: control answered 409: not yet\n");
    CHECK(Run({"drain", "engine-1", "--admin", admin}).code_ ==
          ExitCode::kSuccess);
    CHECK(control.Join() ==
          std::vector<std::string>{
              R"(POST /v1/members {"action":"add","id":4,)"
              R"("replication":"10.0.0.4:1","control":"10.0.0.4:2",)"
              R"("admin":"10.0.0.4:3"})",
              R"(POST /v1/members {"action":"promote","id":4})",
              "POST /v1/servers/engine-1/drain {}"});
    CHECK(Run({"member", "add", "4", "--replication", "host:1"}).code_ ==
          ExitCode::kUsage);
  }
  SECTION("gives up with the reason") {
    const Outcome outcome =
        Run({"status", "--admin", "127.0.0.1:1", "--timeout", "1"});
    CHECK(outcome.code_ == ExitCode::kFailure);
    CHECK_THAT(outcome.err_, Catch::Contains("no control VM answered"));
    CHECK_THAT(outcome.out_, Catch::Contains("address: 127.0.0.1:1  error: "));
  }
}

}  // namespace citronlane
