#include "citronlane/transport/detail/control_channels.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <utility>

#include "citronlane/base/error.h"
#include "citronlane/transport/grpc_credentials.h"

namespace citronlane {
namespace {

constexpr int kMinBackoffMs = 100;
constexpr int kMaxBackoffMs = 1000;
constexpr int kMaxMessageBytes = 64 << 20;

grpc::ChannelArguments Arguments() {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinBackoffMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinBackoffMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxBackoffMs);
  // Messages are small, so that bandwidth probes would cost more than they do.
  arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  // Clients in the same process must not share a connection, since each is a
  // gateway of its own.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  return arguments;
}

}  // namespace

ControlChannels::ControlChannels(std::vector<std::string> addresses,
                                 TlsFiles tls)
    : tls_(std::move(tls)), addresses_(std::move(addresses)) {}

void ControlChannels::SetAddresses(std::vector<std::string> addresses) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!addresses.empty()) {
    addresses_ = std::move(addresses);
  }
}

std::vector<std::string> ControlChannels::addresses() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return addresses_;
}

std::shared_ptr<ControlChannels::Stub> ControlChannels::Get(
    const std::string& address) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::shared_ptr<Stub>& stub = stubs_[address];
  if (!stub) {
    Error error;
    auto credentials = MakeChannelCredentials(tls_, &error);
    if (!credentials) {
      // Without usable TLS files all calls on the channel fail.
      credentials = grpc::SslCredentials(grpc::SslCredentialsOptions());
    }
    stub = wire::Control::NewStub(
        grpc::CreateCustomChannel(address, credentials, Arguments()));
  }
  return stub;
}

std::string ControlChannels::Leader() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return leader_.empty() ? addresses_.front() : leader_;
}

void ControlChannels::OnNotLeader(const std::string& address,
                                  const std::string& leader) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::string present = leader_.empty() ? addresses_.front() : leader_;
  if (present != address) {
    return;
  }
  if (!leader.empty() && leader != address) {
    leader_ = leader;
    return;
  }
  const auto found = std::find(addresses_.begin(), addresses_.end(), address);
  const bool is_last =
      found == addresses_.end() || std::next(found) == addresses_.end();
  leader_ = is_last ? addresses_.front() : *std::next(found);
}

}  // namespace citronlane
