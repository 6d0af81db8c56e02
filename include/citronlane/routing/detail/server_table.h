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

/// The servers of a pool and which of them may take calls: not leaving, not
/// ejected. Servers are named by index; indices change only in Update. Not
/// thread safe.
class ServerTable {
 public:
  explicit ServerTable(const RouterOptions& options);

  /// Takes the pool's list. Servers that stay keep their state; True
  /// when the list changed.
  bool Update(const PoolConfig& pool, TimePoint now);

  std::optional<uint32_t> Find(std::string_view id) const;
  ServerState& at(uint32_t index) { return servers_[index]; }
  const ServerState& at(uint32_t index) const { return servers_[index]; }
  size_t size() const { return servers_.size(); }
  std::vector<std::string> ids() const;

  /// Leaving holds for this incarnation (the newest known one for 0) and every
  /// lower one, also while the server is absent from the list.
  void MarkLeaving(std::string_view id, uint64_t incarnation);
  /// A higher incarnation takes calls again, a probe first. True when it
  /// was news.
  bool MarkAlive(std::string_view id, uint64_t incarnation, TimePoint now);

  /// Ends ejections, ejects outliers, expires peers' figures, for some servers
  /// in turn; cheap when called again soon. Returns what to scale the usual
  /// speed by.
  double Maintain(TimePoint now);

  /// Servers that may take calls, split by this gateway's failure domain.
  const std::vector<uint32_t>& near() const { return near_; }
  const std::vector<uint32_t>& far() const { return far_; }
  const std::vector<uint32_t>& usable() const { return usable_; }
  const std::vector<bool>& usable_flags() const { return usable_flags_; }

 private:
  struct Incarnation {
    uint64_t number_ = 0;
    bool leaving_ = false;
  };

  bool IsLeaving(const std::string& id) const;
  bool EndEjection(TimePoint now, size_t index);
  double Recenter(TimePoint now);
  void Rebuild(TimePoint now);
  /// Makes the lists of usable servers: those that stay and are accepted.
  template <typename Accept>
  void TakeUsable(const Accept& accept);

  const RouterOptions options_;
  const OutlierDetector detector_;
  std::vector<ServerState> servers_;
  std::unordered_map<std::string, uint32_t> by_id_;
  /// Kept for absent servers as well, so that a late list changes nothing.
  std::map<std::string, Incarnation, std::less<>> incarnations_;
  std::vector<uint32_t> near_;
  std::vector<uint32_t> far_;
  std::vector<uint32_t> usable_;
  std::vector<bool> usable_flags_;
  bool leaving_changed_ = false;
  size_t next_server_ = 0;
  TimePoint next_check_{};
  TimePoint next_comparison_{};
  TimePoint next_recenter_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_DETAIL_SERVER_TABLE_H_
