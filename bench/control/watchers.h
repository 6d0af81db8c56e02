#ifndef BENCH_CONTROL_WATCHERS_H_
#define BENCH_CONTROL_WATCHERS_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/transport/control_client.h"

namespace citronlane::bench {

/// Simulated gateways, each with a ControlClient. Thread safe except for the
/// constructor and destructor.
class Watchers {
 public:
  Watchers(const std::vector<std::string>& addresses, size_t count);

  size_t size() const { return watchers_.size(); }
  /// Whether all watchers use the version under a valid lease.
  bool AllHave(uint64_t version) const;
  /// Number of watchers without a valid lease.
  size_t Lapsed() const;
  ControlClient& client(size_t index) { return *watchers_[index]->client_; }

 private:
  struct Watcher {
    std::atomic<uint64_t> version_{0};
    std::atomic<TimePoint> lease_{TimePoint{}};
    std::unique_ptr<ControlClient> client_;
  };

  std::vector<std::unique_ptr<Watcher>> watchers_;
};

}  // namespace citronlane::bench

#endif  // BENCH_CONTROL_WATCHERS_H_
