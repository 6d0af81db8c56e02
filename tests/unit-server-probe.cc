#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <vector>

#include "citronlane/relay/server_probe.h"
#include "citronlane/transport/stage_client.h"
#include "citronlane/transport/stage_limits.h"
#include "support/free_endpoint.h"
#include "support/scripted_server.h"

namespace citronlane {
namespace {

using ProbeResult = ServerReach::ProbeResult;

/// Probes the address once and returns all results that were reported.
std::vector<ProbeResult> Probe(const std::string& address) {
  boost::asio::io_context io;
  StageClient client(&io, StageLimits());
  std::vector<ProbeResult> results;
  ProbeServer(&client, address, "/report",
              [&results](ProbeResult result) { results.push_back(result); });
  io.run();
  return results;
}

std::string AddressOf(const ScriptedServer& server) {
  return "127.0.0.1:" + std::to_string(server.port());
}

}  // namespace

TEST_CASE("a probe needs a reply, whatever it says") {
  const std::string reply = GENERATE(
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
      "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "no HTTP at all\r\n");
  CAPTURE(reply);
  ScriptedServer server({reply});
  CHECK(Probe(AddressOf(server)) ==
        std::vector<ProbeResult>{ProbeResult::kReplied});
  CHECK(server.reads() == 1);
}

TEST_CASE("a probe whose connection is closed has failed") {
  ScriptedServer server({""});
  CHECK(Probe(AddressOf(server)) ==
        std::vector<ProbeResult>{ProbeResult::kFailed});
}

TEST_CASE("a probe of an address that takes no connection has failed") {
  boost::asio::io_context io;
  const std::vector<ProbeResult> failed = {ProbeResult::kFailed};
  CHECK(Probe(FreeEndpoint(&io)) == failed);
  CHECK(Probe("no address") == failed);
}

TEST_CASE("a probe without a reply leaves its connection open") {
  boost::asio::io_context io;
  // Its connections are taken by the kernel and never read.
  boost::asio::ip::tcp::acceptor listener(
      io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  CHECK(
      Probe("127.0.0.1:" + std::to_string(listener.local_endpoint().port())) ==
      std::vector<ProbeResult>{ProbeResult::kOpen});
}

}  // namespace citronlane
