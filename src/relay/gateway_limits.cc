#include "citronlane/relay/gateway_limits.h"

#include <algorithm>
#include <chrono>

namespace citronlane {
namespace {

// Shares of the memory. The remainder is for the process itself and for replies
// of backend servers; see server_call_limits.cc.
constexpr double kCallerMemory = 0.3;
constexpr double kForwardedMemory = 0.1;
constexpr double kPeerMemory = 0.05;
/// Each piece takes a record and the handle of its result.
constexpr uint64_t kBytesPerPiece = 4096;

// Shares of the descriptors. The remainder is for the fleet's own connections
// and idle connections to backend servers.
constexpr double kCallerDescriptors = 0.4;
constexpr double kForwardedDescriptors = 0.1;
constexpr double kRequestDescriptors = 0.25;
constexpr double kPeerDescriptors = 0.12;

/// Requests in flight per megabyte of memory: each takes two stacks and its
/// body.
constexpr uint64_t kRequestsPerMegabyte = 3;
/// Time for a body after its head: the largest body over a slow link.
constexpr Duration kBodyTime = std::chrono::seconds(10);

constexpr size_t kMonitoringConnections = 12;
constexpr size_t kMonitoringRefused = 4;
constexpr uint64_t kMonitoringBodyBytes = 1024;
constexpr uint64_t kMonitoringMemoryBytes = uint64_t{1} << 20;
constexpr Duration kMonitoringReadTimeout = std::chrono::seconds(3);

size_t ShareOf(size_t whole, double share) {
  return std::max<size_t>(
      1, static_cast<size_t>(static_cast<double>(whole) * share));
}

HttpLimits LimitsOf(const CallerLimits& callers,
                    size_t descriptors,
                    uint64_t memory_bytes) {
  HttpLimits limits;
  limits.header_bytes_ = static_cast<uint32_t>(callers.header_bytes_);
  limits.body_bytes_ = callers.body_bytes_;
  limits.memory_bytes_ = memory_bytes;
  limits.SetConnections(descriptors);
  limits.read_timeout_ = callers.header_time_ + kBodyTime;
  limits.idle_timeout_ = callers.idle_time_;
  return limits;
}

}  // namespace

GatewayLimits::GatewayLimits(uint32_t memory_mb, uint32_t descriptors)
    : memory_bytes_(uint64_t{memory_mb} << 20), descriptors_(descriptors) {}

HttpLimits GatewayLimits::Callers(const CallerLimits& limits) const {
  return LimitsOf(limits, ShareOf(descriptors_, kCallerDescriptors),
                  ShareOf(memory_bytes_, kCallerMemory));
}

HttpLimits GatewayLimits::Forwarded(const CallerLimits& limits) const {
  return LimitsOf(limits, ShareOf(descriptors_, kForwardedDescriptors),
                  ShareOf(memory_bytes_, kForwardedMemory));
}

HttpLimits GatewayLimits::Monitoring() const {
  HttpLimits limits;
  limits.body_bytes_ = kMonitoringBodyBytes;
  limits.memory_bytes_ = kMonitoringMemoryBytes;
  limits.connections_ = kMonitoringConnections;
  limits.refused_connections_ = kMonitoringRefused;
  limits.read_timeout_ = kMonitoringReadTimeout;
  return limits;
}

size_t GatewayLimits::requests() const {
  return static_cast<size_t>(
      std::min<uint64_t>((memory_bytes_ >> 20) * kRequestsPerMegabyte,
                         ShareOf(descriptors_, kRequestDescriptors)));
}

uint64_t GatewayLimits::pieces() const {
  return memory_bytes_ / kBytesPerPiece;
}

FrameListener::Limits GatewayLimits::Peers() const {
  return {ShareOf(descriptors_, kPeerDescriptors),
          ShareOf(memory_bytes_, kPeerMemory)};
}

}  // namespace citronlane
