#include "citronlane/net/traffic_count.h"

#include <atomic>

namespace citronlane {
namespace {

std::atomic<uint64_t> traffic_bytes{0};

}  // namespace

void CountTraffic(size_t bytes) {
  traffic_bytes.fetch_add(bytes, std::memory_order_relaxed);
}

uint64_t TrafficBytes() {
  return traffic_bytes.load(std::memory_order_relaxed);
}

}  // namespace citronlane
