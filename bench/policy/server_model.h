#ifndef CITRONLANE_BENCH_POLICY_SERVER_MODEL_H_
#define CITRONLANE_BENCH_POLICY_SERVER_MODEL_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/routing/call_priority.h"
#include "policy/backend_call.h"
#include "policy/event_queue.h"
#include "policy/pool_model.h"

namespace citronlane {

/// Simulated backend server with slots, a queue by priority, batches whose
/// calls slow each other down, a prefix cache, and faults. Not thread safe.
class ServerModel {
 public:
  using CallPtr = std::shared_ptr<BackendCall>;
  /// Called for each cache event: sequence number, prefix, and whether it was
  /// stored (else evicted).
  using CacheHook = std::function<void(uint64_t, uint64_t, bool)>;

  ServerModel(const PoolModel& pool,
              std::string id,
              int domain,
              EventQueue* queue,
              CacheHook on_cache);

  /// Starts or queues a call; refuses it when the server is down or draining.
  void Submit(const CallPtr& call);
  void Cancel(const CallPtr& call);

  void SetSlow(double factor) { slow_ = factor; }
  /// Makes every new call end at once with an error.
  void SetErrors(bool errors) { errors_ = errors; }
  /// Freezes the server: it accepts calls but never replies.
  void Stop();
  /// Ends the process: connections are refused or, if `silent`, time out.
  void Crash(bool silent);
  void Drain() { draining_ = true; }
  /// Starts a new process with a cold cache, which is slow until warm.
  void Restart();

  const std::string& id() const { return id_; }
  int domain() const { return domain_; }
  uint64_t incarnation() const { return incarnation_; }
  bool up() const { return up_; }
  bool silent() const { return silent_; }
  bool stopped() const { return stopped_; }
  bool idle() const { return running_.empty() && waiting() == 0; }
  size_t load() const { return running_.size() + waiting(); }

  /// Sets the load that replies report to the current one.
  void PublishLoad();
  size_t published_load() const { return published_load_; }
  TimePoint published_at() const { return published_at_; }

 private:
  size_t waiting() const;
  void StartNext();
  void Start(const CallPtr& call);
  void End(const CallPtr& call, CallOutcome outcome);
  Duration ReadingTime(const BackendCall& call);
  bool LookUpPrefix(uint64_t prefix);

  const PoolModel pool_;
  const std::string id_;
  const int domain_;
  EventQueue* const queue_;
  const CacheHook on_cache_;
  std::vector<CallPtr> running_;
  /// Queued calls by priority.
  std::array<std::deque<CallPtr>, kCallPriorities> queues_;
  std::list<uint64_t> cached_;
  uint64_t cache_sequence_ = 0;
  uint64_t incarnation_ = 1;
  double slow_ = 1;
  bool up_ = true;
  bool silent_ = false;
  bool stopped_ = false;
  bool draining_ = false;
  bool errors_ = false;
  TimePoint warm_at_{};
  size_t published_load_ = 0;
  TimePoint published_at_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_SERVER_MODEL_H_
