#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <cstdio>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "citronlane/transport/admin_server.h"

namespace citronlane {
namespace {

using Tcp = boost::asio::ip::tcp;

constexpr std::chrono::seconds kDeadline(20);
constexpr int kValidSeconds = 3600;

/// A key and a self-signed certificate, in files that the destructor removes.
class TemporaryCertificate {
 public:
  TemporaryCertificate() : files_{Path("cert.pem"), Path("key.pem"), ""} {
    EVP_PKEY* key = EVP_EC_gen("P-256");
    X509* certificate = X509_new();
    X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
    X509_gmtime_adj(X509_getm_notAfter(certificate), kValidSeconds);
    X509_set_pubkey(certificate, key);
    X509_sign(certificate, key, EVP_sha256());
    FILE* file = std::fopen(files_.certificate_.c_str(), "w");
    PEM_write_X509(file, certificate);
    std::fclose(file);
    file = std::fopen(files_.private_key_.c_str(), "w");
    PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(file);
    X509_free(certificate);
    EVP_PKEY_free(key);
  }
  ~TemporaryCertificate() {
    std::remove(files_.certificate_.c_str());
    std::remove(files_.private_key_.c_str());
  }
  const TlsFiles& files() const { return files_; }

 private:
  static std::string Path(const std::string& name) {
    return "/tmp/unit-admin-server-" + std::to_string(getpid()) + "-" + name;
  }

  const TlsFiles files_;
};

uint16_t FreePort() {
  boost::asio::io_context context;
  const Tcp::acceptor acceptor(context,
                               {boost::asio::ip::make_address("127.0.0.1"), 0});
  return acceptor.local_endpoint().port();
}

/// Sends a request without TLS and reads until the server replies or closes the
/// connection.
void SendPlain(uint16_t port) {
  boost::asio::io_context context;
  Tcp::socket socket(context);
  socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
  boost::system::error_code ignored;
  const std::string request = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(request), ignored);
  std::string reply(1, '\0');
  boost::asio::read(socket, boost::asio::buffer(reply), ignored);
}

/// Sends a request, by TLS if `ca` names the file of a CA, and returns all that
/// the server sends until it closes the connection.
std::string Ask(uint16_t port,
                const std::string& request,
                const std::string& ca = "") {
  boost::asio::io_context context;
  boost::asio::ssl::context tls(boost::asio::ssl::context::tls_client);
  boost::asio::ssl::stream<Tcp::socket> stream(context, tls);
  stream.next_layer().connect(
      {boost::asio::ip::make_address("127.0.0.1"), port});
  std::string reply;
  boost::system::error_code ended;
  const auto exchange = [&](auto& socket) {
    boost::asio::write(socket, boost::asio::buffer(request));
    boost::asio::read(socket, boost::asio::dynamic_buffer(reply), ended);
  };
  if (ca.empty()) {
    exchange(stream.next_layer());
  } else {
    tls.load_verify_file(ca);
    stream.set_verify_mode(boost::asio::ssl::verify_peer);
    stream.handshake(boost::asio::ssl::stream_base::client);
    exchange(stream);
  }
  return reply;
}

/// Whether Stop returns in time; if it doesn't, the server is leaked.
bool Stops(std::unique_ptr<AdminServer> server) {
  std::promise<void> stopped;
  std::future<void> future = stopped.get_future();
  std::thread thread([&server, &stopped] {
    server->Stop();
    stopped.set_value();
  });
  if (future.wait_for(kDeadline) == std::future_status::ready) {
    thread.join();
    return true;
  }
  thread.detach();
  static_cast<void>(server.release());
  return false;
}

}  // namespace

TEST_CASE("administration server") {
  const TemporaryCertificate certificate;
  const uint16_t port = FreePort();
  const std::string listen = "127.0.0.1:" + std::to_string(port);
  const auto make = [&](const TlsFiles& tls) {
    return std::make_unique<AdminServer>(
        listen, tls, [](const AdminRequest&) { return AdminResponse(); });
  };
  Error error;

  SECTION("stops after a plain call") {
    auto server = make(TlsFiles());
    REQUIRE(server->Start(&error));
    SendPlain(port);
    CHECK(Stops(std::move(server)));
  }
  SECTION("stops after a plain call to its TLS port") {
    auto server = make(certificate.files());
    REQUIRE(server->Start(&error));
    SendPlain(port);
    CHECK(Stops(std::move(server)));
  }
}

TEST_CASE("administration server answers calls") {
  const TemporaryCertificate certificate;
  const uint16_t port = FreePort();
  std::vector<RefusalReason> unread;
  std::vector<std::string> bodies;
  AdminServer::Hooks hooks;
  hooks.refuse_ = [](const AdminRequest& head) -> std::optional<AdminResponse> {
    if (head.authorization_ == "Bearer key") {
      return std::nullopt;
    }
    AdminResponse response;
    response.status_ = 401;
    return response;
  };
  hooks.unread_ = [&](RefusalReason reason) { unread.push_back(reason); };
  const auto make = [&](const TlsFiles& tls) {
    return std::make_unique<AdminServer>(
        "127.0.0.1:" + std::to_string(port), tls,
        [&](const AdminRequest& request) {
          bodies.emplace_back(request.body_.view());
          AdminResponse response;
          response.body_ =
              request.method_ + " " + request.path_ + " " + request.query_;
          return response;
        },
        hooks);
  };
  const std::string call =
      "POST /v1/x?y=2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
      "Authorization: Bearer key\r\nContent-Length: 5\r\n\r\nhello";
  Error error;

  SECTION("without TLS") {
    auto server = make(TlsFiles());
    REQUIRE(server->Start(&error));
    const std::string reply = Ask(port, call);
    CHECK(reply.find("HTTP/1.1 200") == 0);
    CHECK(reply.find("POST /v1/x y=2") != std::string::npos);
    server->Stop();
    CHECK(bodies == std::vector<std::string>{"hello"});
  }
  SECTION("with TLS") {
    auto server = make(certificate.files());
    REQUIRE(server->Start(&error));
    const std::string reply = Ask(port, call, certificate.files().certificate_);
    CHECK(reply.find("HTTP/1.1 200") == 0);
    server->Stop();
    CHECK(bodies == std::vector<std::string>{"hello"});
  }
  SECTION("without a key before their body has arrived") {
    auto server = make(TlsFiles());
    REQUIRE(server->Start(&error));
    const std::string reply = Ask(
        port, "POST /v1/x HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n");
    CHECK(reply.find("HTTP/1.1 401") == 0);
    server->Stop();
    CHECK(bodies.empty());
    CHECK(unread.empty());
  }
  SECTION("that can't be read, and reports them") {
    auto server = make(TlsFiles());
    REQUIRE(server->Start(&error));
    CHECK(Ask(port, "nonsense\r\n\r\n").find("HTTP/1.1 400") == 0);
    server->Stop();
    CHECK(unread ==
          std::vector<RefusalReason>{RefusalReason::kMalformedRequest});
  }
}

}  // namespace citronlane
