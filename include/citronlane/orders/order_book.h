#ifndef CITRONLANE_ORDERS_ORDER_BOOK_H_
#define CITRONLANE_ORDERS_ORDER_BOOK_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "state.pb.h"

namespace citronlane {

/// Orders to model engines and their phases. Orders to one server start one at
/// a time, and orders that read the weight store are rate limited over the
/// entire fleet, also across changes of the leader. It sends nothing: see
/// OrderGate for when an order may be sent. Replicated state: every replica
/// applies the same calls. Not thread safe.
class OrderBook {
 public:
  /// Adds an order. One with a known id is ignored and returns true. If the
  /// book is full, the oldest finished order is removed; returns false if there
  /// is none.
  bool Submit(const wire::SubmitOrder& command);

  /// Starts an order for the leader. `present` is the current fencing number,
  /// `time_ms` the cluster time. Returns false if the order is unknown or
  /// finished, the command's fencing number is not the current one, an earlier
  /// order to the same server is unfinished, or the rate limit of the weight
  /// store does not allow it yet.
  bool Start(uint64_t time_ms,
             uint64_t present,
             const wire::StartOrder& command);

  /// Ends an attempt: the order is done, failed, or pending again for a retry.
  /// Returns false if the order is not started under the command's fencing
  /// number, in particular if a newer leader has started it since.
  bool Finish(const wire::FinishOrder& command);

  /// Returns the order, or null.
  const wire::EngineOrder* Find(const std::string& order_id) const;

  using Filter = std::function<bool(const wire::EngineOrder&)>;

  /// Returns the oldest order that the leader with this fencing number may
  /// start now and for which `allowed` returns true, or null. `limits` has the
  /// rate limit of the weight store; its other fields are not used.
  const wire::EngineOrder* Next(uint64_t time_ms,
                                uint64_t number,
                                const wire::StartOrder& limits,
                                const Filter& allowed) const;

  /// Oldest first.
  const std::deque<wire::EngineOrder>& orders() const { return orders_; }

  void Save(wire::OrderSnapshot* snapshot) const;
  void Load(const wire::OrderSnapshot& snapshot);

 private:
  wire::EngineOrder* FindMutable(const std::string& order_id);
  bool MayStart(uint64_t time_ms,
                uint64_t number,
                const wire::StartOrder& limits,
                const wire::EngineOrder& order) const;
  bool WeightStoreRateAllows(uint64_t time_ms,
                             const wire::StartOrder& limits) const;

  std::deque<wire::EngineOrder> orders_;
  /// Cluster time at which the weight store's token bucket is full again.
  uint64_t weight_store_full_ms_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_ORDERS_ORDER_BOOK_H_
