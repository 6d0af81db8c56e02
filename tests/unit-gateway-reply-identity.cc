// Guards against returning another call's reply to a caller of a plain service.
// Such a service doesn't have to echo X-Attempt-Id. After a reply that did echo
// it, the connection is kept, and a late second reply without the header is
// then read in place of the reply to the next call.

#include <catch2/catch.hpp>

#include <memory>
#include <string>

#include "gateway_harness.h"
#include "support/threaded_listener.h"

namespace citronlane {
namespace {

std::string Reply(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\n" +
         (id.empty() ? id : "X-Attempt-Id: " + id + "\r\n") +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Replies to each call with its target and attempt id. From the second call on
/// a connection on, the reply to the previous call is sent again first, without
/// an attempt id.
class RepeatingService {
 public:
  uint16_t port() const { return listener_.port(); }

 private:
  static void Serve(tcp::socket* socket) {
    beast::flat_buffer buffer;
    std::string previous;
    beast::error_code error;
    while (true) {
      http::request<http::string_body> request;
      http::read(*socket, buffer, request, error);
      if (error) {
        return;
      }
      const auto id = request["X-Attempt-Id"];
      const auto target = request.target();
      const std::string body =
          "answer to " + std::string(target.data(), target.size());
      const std::string late = previous.empty() ? "" : Reply("", previous);
      asio::write(
          *socket,
          asio::buffer(late + Reply(std::string(id.data(), id.size()), body)),
          error);
      previous = body;
    }
  }

  ThreadedListener listener_{Serve};
};

std::shared_ptr<const ClusterConfig> ConfigOf(uint16_t port) {
  const std::string document =
      R"({"classes": {"chat": {"answer_ms": 4000}},
    "accounts": {"shop": {"key_digests": [")" +
      Sha256Hex("key-1") +
      R"("], "default_class": "chat", "classes": ["chat"]}},
    "pools": {"desks": {"kind": "service", "servers": {"d": {
      "address": "127.0.0.1", "port": )" +
      std::to_string(port) + R"(, "failure_domain": "a"}}}},
    "pipelines": {},
    "services": {"desk": {"pool": "desks", "deadline_ms": 2000}}})";
  std::vector<Fault> faults;
  auto config = ParseClusterConfig(document, 7, &faults);
  INFO((faults.empty() ? "" : FormatFaults(faults)[0]));
  REQUIRE(config);
  return std::make_shared<const ClusterConfig>(*std::move(config));
}

}  // namespace

TEST_CASE("a late second reply of a plain service without an id is discarded") {
  RepeatingService service;
  GatewayOptions options = TestOptions();
  options.threads_ = 1;
  Gateway gateway(std::move(options), {});
  gateway.ApplyConfig(ConfigOf(service.port()));
  gateway.ExtendLease(TimePoint::max());
  Error error;
  REQUIRE(gateway.Start(&error));
  const auto ask = [&](const std::string& path) {
    return Call(gateway.port(), http::verb::get, "/services/desk" + path, "",
                key_header);
  };
  const Response first = ask("/a");
  CHECK(first.result_int() == 200);
  CHECK(first.body() == "answer to /a");
  const Response second = ask("/b");
  if (second.result_int() == 200) {
    CHECK(second.body() == "answer to /b");
  }
  gateway.Shutdown();
  gateway.Wait();
}

}  // namespace citronlane
