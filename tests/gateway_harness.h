#ifndef CITRONLANE_TESTS_GATEWAY_HARNESS_H_
#define CITRONLANE_TESTS_GATEWAY_HARNESS_H_

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>
#include <csignal>
#include <cstdio>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "citronlane/base/hex.h"
#include "citronlane/base/sha256.h"
#include "citronlane/config/parse_cluster_config.h"
#include "citronlane/gateway/gateway.h"
#include "citronlane/json/object_reader.h"
#include "citronlane/json/parse.h"
#include "support/eventually.h"
#include "support/raw_call.h"

extern char** environ;

namespace citronlane {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using Response = http::response<http::string_body>;
using Headers = std::vector<std::pair<std::string, std::string>>;

inline Response Call(uint16_t port,
                     http::verb method,
                     const std::string& target,
                     const std::string& body = "",
                     const Headers& headers = {}) {
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect({asio::ip::make_address("127.0.0.1"), port});
  http::request<http::string_body> request(method, target, 11);
  request.set(http::field::host, "127.0.0.1");
  request.set(http::field::connection, "close");
  for (const auto& [name, value] : headers) {
    request.insert(name, value);
  }
  request.body() = body;
  request.prepare_payload();
  http::write(socket, request);
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(1 << 24);
  beast::error_code error;
  http::read(socket, buffer, parser, error);
  Response response = parser.release();
  if (error) {
    response.set("X-Test-Cut", "1");
  }
  return response;
}

/// Runs the fake backend servers as a child process.
class Fakes {
 public:
  Fakes() {
    int ends[2];
    REQUIRE(pipe2(ends, O_CLOEXEC) == 0);
    const std::string file =
        "/tmp/citronlane-test-fleet-" + std::to_string(getpid()) + ".json";
    std::ofstream(file) << kFleet;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    std::string program = CITRONLANE_FAKES;
    std::string argument = file;
    char* argv[] = {program.data(), argument.data(), nullptr};
    REQUIRE(posix_spawn(&pid_, program.c_str(), &actions, nullptr, argv,
                        environ) == 0);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    FILE* out = fdopen(ends[0], "r");
    char line[4096];
    REQUIRE(std::fgets(line, sizeof(line), out) != nullptr);
    std::fclose(out);
    std::remove(file.c_str());
    Fault fault;
    ports_ = *ParseJson(line, &fault);
  }
  ~Fakes() {
    kill(pid_, SIGTERM);
    waitpid(pid_, nullptr, 0);
  }

  int Port(const std::string& id) const {
    return static_cast<int>(ports_.Find("servers")->Find(id)->AsNumber());
  }
  void SetFault(const std::string& id, const std::string& fault) {
    const auto port = static_cast<uint16_t>(ports_.Find("control")->AsNumber());
    REQUIRE(Call(port, http::verb::post, "/fault/" + id, fault).result_int() ==
            200);
  }

  /// Number of calls that reached servers of the pool; with `ran`, only those
  /// that were executed.
  size_t Calls(const std::string& pool, bool ran = true) {
    const auto port = static_cast<uint16_t>(ports_.Find("control")->AsNumber());
    Fault fault;
    const auto records =
        ParseJson(Call(port, http::verb::get, "/record").body(), &fault);
    REQUIRE(records);
    size_t count = 0;
    for (const JsonValue& record : records->items()) {
      CHECK_FALSE(record.Find("mixed")->AsBool());
      count += record.Find("pool")->AsString() == pool &&
                       (!ran || record.Find("ran")->AsBool())
                   ? 1
                   : 0;
    }
    return count;
  }

 private:
  static constexpr char kFleet[] = R"({"servers": [
    {"id": "enc1", "kind": "encoder", "pool": "encoders"},
    {"id": "enc2", "kind": "encoder", "pool": "encoders"},
    {"id": "ret1", "kind": "retriever", "pool": "retrievers"},
    {"id": "rer1", "kind": "reranker", "pool": "rerankers"},
    {"id": "eng1", "kind": "engine", "pool": "engines", "tokens": 8},
    {"id": "eng2", "kind": "engine", "pool": "engines", "tokens": 8},
    {"id": "svc1", "kind": "service", "pool": "tills"},
    {"id": "svc2", "kind": "service", "pool": "tills"}]})";

  pid_t pid_ = 0;
  JsonValue ports_;
};

inline std::string ServersOf(const Fakes& fakes,
                             const std::vector<std::string>& ids) {
  std::string text;
  for (const std::string& id : ids) {
    text += (text.empty() ? "" : ",") + ("\"" + id) +
            R"(": {"address": "127.0.0.1", "port": )" +
            std::to_string(fakes.Port(id)) + R"(, "failure_domain": "a"})";
  }
  return "{" + text + "}";
}

inline std::shared_ptr<const ClusterConfig> ConfigOf(const Fakes& fakes) {
  const std::string document =
      R"({
    "classes": {"chat": {"answer_ms": 4000}, "night": {"answer_ms": 9000, "batch": true}},
    "accounts": {"shop": {"key_digests": [")" +
      Sha256Hex("key-1") +
      R"("], "default_class": "chat", "classes": ["chat"]}},
    "pools": {
      "encoders": {"kind": "encoder", "cost_per_call": 1, "servers": )" +
      ServersOf(fakes, {"enc1", "enc2"}) + R"(},
      "retrievers": {"kind": "retriever", "cost_per_call": 2, "servers": )" +
      ServersOf(fakes, {"ret1"}) + R"(},
      "rerankers": {"kind": "reranker", "cost_per_call": 3, "servers": )" +
      ServersOf(fakes, {"rer1"}) + R"(},
      "engines": {"kind": "engine", "cost_per_call": 4, "cost_per_token": 0.5, "servers": )" +
      ServersOf(fakes, {"eng1", "eng2"}) + R"(},
      "tills": {"kind": "service", "rejection_means_not_run": true, "servers": )" +
      ServersOf(fakes, {"svc1", "svc2"}) + R"(}},
    "pipelines": {
      "ask": {"deadline_ms": 5000, "stages": [
        {"name": "encode", "pool": "encoders"}, {"name": "retrieve", "pool": "retrievers"},
        {"name": "rerank", "pool": "rerankers"},
        {"name": "generate", "pool": "engines", "model": "m"}]},
      "order": {"deadline_ms": 5000, "non_idempotent": true, "stages": [
        {"name": "encode", "pool": "encoders"},
        {"name": "generate", "pool": "engines", "model": "m", "non_idempotent": true}]}},
    "services": {"till": {"pool": "tills", "deadline_ms": 2000, "routes": [
      {"method": "POST", "prefix": "/orders", "non_idempotent": true}]}}})";
  std::vector<Fault> faults;
  auto config = ParseClusterConfig(document, 7, &faults);
  INFO((faults.empty() ? "" : FormatFaults(faults)[0]));
  REQUIRE(config);
  return std::make_shared<const ClusterConfig>(*std::move(config));
}

/// The text that the fake engines return for a question.
inline std::string AnswerTo(const std::string& question) {
  std::string text;
  for (int i = 0; i < 8; ++i) {
    const std::string hash = Sha256(question + "/token/" + std::to_string(i));
    text += ToHex(hash.substr(0, 4)) + " ";
  }
  return text;
}

inline JsonValue Json(const std::string& text) {
  Fault fault;
  auto value = ParseJson(text, &fault);
  INFO(text);
  REQUIRE(value);
  return *std::move(value);
}

inline std::string TextOf(const Response& response) {
  return Json(response.body()).Find("text")->AsString();
}

/// Reason number and verdict of a refusal, such as "301 not_run".
inline std::string RefusalOf(const std::string& body) {
  const JsonValue problem = Json(body);
  return std::to_string(static_cast<int>(problem.Find("reason")->AsNumber())) +
         " " + problem.Find("verdict")->AsString();
}

/// Data of each server-sent event.
inline std::vector<std::string> EventsOf(const std::string& body) {
  std::vector<std::string> events;
  size_t begin = 0;
  while ((begin = body.find("data: ", begin)) != std::string::npos) {
    begin += 6;
    events.push_back(body.substr(begin, body.find('\n', begin) - begin));
  }
  return events;
}

inline const Headers key_header = {{"Authorization", "Bearer key-1"}};

inline GatewayOptions TestOptions() {
  GatewayOptions options;
  options.name_ = "gw";
  options.port_ = 0;
  options.threads_ = 2;
  options.receipt_key_ = "receipt";
  options.drain_notice_ = std::chrono::milliseconds(1);
  return options;
}

struct Running {
  explicit Running(const Fakes& fakes,
                   GatewayHooks hooks = {},
                   GatewayOptions options = TestOptions())
      : gateway_(std::move(options), std::move(hooks)) {
    gateway_.ApplyConfig(ConfigOf(fakes));
    gateway_.ExtendLease(TimePoint::max());
    Error error;
    REQUIRE(gateway_.Start(&error));
  }
  ~Running() {
    gateway_.Shutdown();
    gateway_.Wait();
  }
  Response Post(const std::string& target,
                const std::string& body,
                const Headers& more = {}) {
    Headers headers = key_header;
    headers.insert(headers.end(), more.begin(), more.end());
    return Call(gateway_.port(), http::verb::post, target, body, headers);
  }
  Response Ask(const std::string& question) {
    return Post("/v1/pipelines/ask", R"({"input": ")" + question + "\"}");
  }

  Gateway gateway_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_GATEWAY_HARNESS_H_
