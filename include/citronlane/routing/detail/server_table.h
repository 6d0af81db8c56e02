#ifndef CITRONLANE_ROUTING_DETAIL_SERVER_TABLE_H_
#define CITRONLANE_ROUTING_DETAIL_SERVER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/routing/detail/outlier_detector.h"
#include "citronlane/routing/detail/server_state.h"
#include "citronlane/routing/router_options.h"

namespace citronlane {

struct PoolConfig;

/// The servers of a pool, and which of them are usable: neither draining nor
/// ejected, or merely not draining when that leaves none. Servers are
/// identified by index; indices change only in Update. Not thread safe.
class ServerTable {
 public:
  explicit ServerTable(const RouterOptions& options);

  /// Applies the pool's list. Servers that stay keep their state. Returns
  /// whether servers were added or removed.
  bool Update(const PoolConfig& pool, TimePoint now);

  std::optional<uint32_t> Find(std::string_view id) const;
  ServerState& at(uint32_t index) { return servers_[index]; }
  const ServerState& at(uint32_t index) const { return servers_[index]; }
  size_t size() const { return servers_.size(); }
  std::vector<std::string> ids() const;

  /// Marks this incarnation (the highest known one for 0) and every lower one
  /// as draining, also while the server is absent from the list. Takes effect
  /// on the usable servers in the next Maintain.
  void MarkLeaving(std::string_view id, uint64_t incarnation);
  /// Marks an incarnation as running. If it is higher than a draining one, the
  /// server is usable again from the next Maintain on, a probe call first.
  /// Returns whether a listed server came back that way.
  bool MarkAlive(std::string_view id, uint64_t incarnation, TimePoint now);

  /// Ends ejections that are due, ejects outliers and expires peers' loads.
  /// Checks a bounded number of servers in turn; returns early when called
  /// again soon. Returns the factor to scale the pool's typical times by.
  double Maintain(TimePoint now);

  /// Usable servers in this gateway's failure domain, and in the others.
  const std::vector<uint32_t>& near() const { return near_; }
  const std::vector<uint32_t>& far() const { return far_; }
  /// All usable servers, and the same as a flag for each server.
  const std::vector<uint32_t>& usable() const { return usable_; }
  const std::vector<bool>& usable_flags() const { return usable_flags_; }

 private:
  struct Incarnation {
    uint64_t number_ = 0;
    bool leaving_ = false;
  };

  bool IsLeaving(const std::string& id) const;
  bool EndEjection(TimePoint now, size_t index);
  /// Divides the slow factors by their median, within limits, and returns it.
  double CenterSlowFactors(TimePoint now);
  void Rebuild(TimePoint now);
  /// Rebuilds the lists of usable servers from those that are not draining and
  /// that `accept` accepts.
  template <typename Accept>
  void CollectUsable(const Accept& accept);

  const RouterOptions options_;
  const OutlierDetector detector_;
  std::vector<ServerState> servers_;
  std::unordered_map<std::string, uint32_t> by_id_;
  /// Kept for absent servers as well, so that an outdated list can not bring a
  /// draining server back.
  std::map<std::string, Incarnation, std::less<>> incarnations_;
  std::vector<uint32_t> near_;
  std::vector<uint32_t> far_;
  std::vector<uint32_t> usable_;
  std::vector<bool> usable_flags_;
  bool leaving_changed_ = false;
  size_t next_server_ = 0;
  TimePoint next_check_{};
  TimePoint next_comparison_{};
  TimePoint next_centering_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_DETAIL_SERVER_TABLE_H_
