#include "citronlane/cli/admin_client.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/timespan.h>

#include <algorithm>
#include <cstdint>
#include <thread>
#include <utility>

#include "citronlane/json/parse.h"
#include "citronlane/settings/files.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Maximum number of control VMs called in one chain of redirects.
constexpr int kMaxChainedCalls = 4;
constexpr int kTemporaryRedirect = 307;
constexpr int kUnavailable = 503;
constexpr milliseconds kTryTimeout(3000);
constexpr milliseconds kRoundDelay(100);
/// cxxtools' level of verification that requires a valid certificate.
constexpr int kVerifyPeer = 2;

// Returns the timeout of one try.
milliseconds TryTimeout(steady_clock::time_point deadline) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now());
  return std::clamp(left, milliseconds(1), kTryTimeout);
}

// Splits "IP:port". The addresses of the options are validated already; the
// port of another one is 0 when it is not a number.
std::pair<std::string, uint16_t> SplitAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return {address, 0};
  }
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[') {
    host = host.substr(1, host.size() - 2);
  }
  unsigned port = 0;
  for (const char c : address.substr(colon + 1)) {
    port =
        c >= '0' && c <= '9' ? port * 10 + static_cast<unsigned>(c - '0') : 0;
  }
  return {host, static_cast<uint16_t>(port)};
}

// Returns "IP:port" of a URL "scheme://IP:port/path".
std::string AddressOf(const std::string& location) {
  const size_t scheme = location.find("://");
  const size_t begin = scheme == std::string::npos ? 0 : scheme + 3;
  return location.substr(begin, location.find('/', begin) - begin);
}

struct Exchange {
  int status_ = 0;
  std::string location_;
  std::string body_;
};

Exchange Send(const AdminOptions& options,
              const std::string& key,
              const std::string& address,
              const std::string& path,
              const std::optional<std::string>& body,
              milliseconds timeout) {
  const auto [host, port] = SplitAddress(address);
  cxxtools::http::Client client(host, port, !options.ca_file_.empty());
  if (!options.ca_file_.empty()) {
    client.setSslVerify(kVerifyPeer, options.ca_file_);
  }
  cxxtools::http::Request request(path);
  const size_t query = path.find('?');
  if (query != std::string::npos) {
    request.url(path.substr(0, query));
    request.qparams(path.substr(query + 1));
  }
  request.method(body ? "POST" : "GET");
  if (!key.empty()) {
    request.setHeader("Authorization", ("Bearer " + key).c_str());
  }
  if (body) {
    request.setHeader("Content-Type", "application/json");
    request.body() << *body;
  }
  const cxxtools::Milliseconds limit(static_cast<double>(timeout.count()));
  client.execute(request, limit, limit);
  client.readBody();
  const char* location = client.header().getHeader("Location");
  return {static_cast<int>(client.header().httpReturnCode()),
          location == nullptr ? "" : location, client.body()};
}

AdminReply ReplyOf(Exchange exchange) {
  AdminReply reply;
  reply.status_ = exchange.status_;
  Fault ignored;
  if (std::optional<JsonValue> value = ParseJson(exchange.body_, &ignored)) {
    reply.body_ = *std::move(value);
  }
  reply.text_ = std::move(exchange.body_);
  return reply;
}

// Returns the reason from the body of an error response (RFC 9457).
std::string DetailOf(const AdminReply& reply) {
  const JsonValue* detail = reply.body_.Find("detail");
  return detail != nullptr && detail->IsString()
             ? detail->AsString()
             : "responded with status " + std::to_string(reply.status_);
}

}  // namespace

AdminClient::AdminClient(AdminOptions options) : options_(std::move(options)) {}

std::optional<AdminReply> AdminClient::Get(const std::string& path,
                                           Error* error) {
  return Call(path, std::nullopt, error);
}

std::optional<AdminReply> AdminClient::Post(const std::string& path,
                                            const JsonValue& body,
                                            Error* error) {
  return Call(path, WriteJson(body), error);
}

std::optional<AdminReply> AdminClient::Call(
    const std::string& path,
    const std::optional<std::string>& body,
    Error* error) {
  if (key_.empty() && !options_.key_file_.empty()) {
    const std::optional<std::string> key =
        ReadKeyFile(options_.key_file_, error);
    if (!key) {
      return std::nullopt;
    }
    key_ = *key;
  }
  std::vector<std::string> addresses = options_.addresses_;
  if (!preferred_.empty()) {
    addresses.insert(addresses.begin(), preferred_);
  }
  const Deadline deadline = steady_clock::now() + options_.timeout_;
  while (true) {
    for (const std::string& address : addresses) {
      std::optional<AdminReply> reply =
          Try(address, path, body, deadline, error);
      if (reply) {
        preferred_ = address;
        return reply;
      }
    }
    if (steady_clock::now() + kRoundDelay >= deadline) {
      return std::nullopt;
    }
    std::this_thread::sleep_for(kRoundDelay);
  }
}

std::optional<AdminReply> AdminClient::Try(
    std::string address,
    const std::string& path,
    const std::optional<std::string>& body,
    Deadline deadline,
    Error* error) const {
  for (int hops = 0; hops < kMaxChainedCalls; ++hops) {
    Exchange exchange;
    try {
      exchange =
          Send(options_, key_, address, path, body, TryTimeout(deadline));
    } catch (const std::exception& failure) {
      error->message_ = address + ": " + failure.what();
      return std::nullopt;
    }
    if (exchange.status_ == kTemporaryRedirect) {
      address = AddressOf(exchange.location_);
      continue;
    }
    AdminReply reply = ReplyOf(std::move(exchange));
    if (reply.status_ == kUnavailable) {
      error->message_ = address + ": " + DetailOf(reply);
      return std::nullopt;
    }
    return reply;
  }
  error->message_ = address + ": more than " +
                    std::to_string(kMaxChainedCalls - 1) +
                    " redirects between control VMs";
  return std::nullopt;
}

}  // namespace citronlane
