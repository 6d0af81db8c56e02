#ifndef CITRONLANE_ORDERS_ORDER_BOOK_H_
#define CITRONLANE_ORDERS_ORDER_BOOK_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "state.pb.h"

namespace citronlane {

/// Orders to engines and how far they are. One order at a time is open for a
/// server; starts that read the weight store are spaced over the whole fleet,
/// whoever leads. Pure. Not thread safe.
class OrderBook {
 public:
  /// Takes an order. A known id keeps its first order. False when the book is
  /// full of unfinished ones.
  bool Submit(const wire::SubmitOrder& command);

  /// Opens an order for the leader with fencing number `present`. False when
  /// the number is old, another order is open there, or the weight store's rate
  /// does not allow it yet.
  bool Start(uint64_t time_ms,
             uint64_t present,
             const wire::StartOrder& command);

  /// Ends an attempt. False when a newer number has opened the order since.
  bool Finish(const wire::FinishOrder& command);

  /// Returns the order, or null.
  const wire::EngineOrder* Find(const std::string& order_id) const;

  using Filter = std::function<bool(const wire::EngineOrder&)>;

  /// Returns the first order that the leader with this number may open now and
  /// that `allowed` lets pass, or null.
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
  bool WeightStoreAllows(uint64_t time_ms,
                         const wire::StartOrder& limits) const;

  std::deque<wire::EngineOrder> orders_;
  /// When the weight store's burst is whole again, in cluster time.
  uint64_t weight_store_full_ms_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_ORDERS_ORDER_BOOK_H_
