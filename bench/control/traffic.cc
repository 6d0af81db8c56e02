#include "control/traffic.h"

#include <arpa/inet.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <filesystem>
#include <string>

namespace citronlane::bench {
namespace {

/// Size of the IPv4 and TCP headers with the timestamp option.
constexpr double kHeaderBytes = 52;

bool IsTo(int socket, const std::set<uint16_t>& ports) {
  sockaddr_in6 peer{};
  socklen_t size = sizeof(peer);
  if (getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &size) != 0) {
    return false;
  }
  // The port has the same offset in IPv4 and IPv6 addresses.
  return ports.count(ntohs(peer.sin6_port)) > 0;
}

}  // namespace

double Traffic::WireBytes() const {
  return payload_bytes_ + segments_ * kHeaderBytes;
}

Traffic Traffic::Read(const std::set<uint16_t>& ports) {
  Traffic sum;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/self/fd")) {
    const int socket = std::stoi(entry.path().filename().string());
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (!IsTo(socket, ports) ||
        getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
      continue;
    }
    sum.payload_bytes_ += static_cast<double>(info.tcpi_bytes_acked) +
                          static_cast<double>(info.tcpi_bytes_received);
    sum.segments_ += static_cast<double>(info.tcpi_segs_out) +
                     static_cast<double>(info.tcpi_segs_in);
  }
  return sum;
}

}  // namespace citronlane::bench
