#ifndef CITRONLANE_RELAY_CONTROL_WATCH_H_
#define CITRONLANE_RELAY_CONTROL_WATCH_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "citronlane/base/time.h"

namespace citronlane {

class EventLog;
class FrameLink;

namespace wire::fleet {
class Frame;
class WatchRequest;
class WatchUpdate;
}  // namespace wire::fleet

/// Keeps a gateway connected to the control VM that leads: finds it from the
/// seeds, then from what control VMs say of each other, and leaves one that is
/// silent or no longer leads. On the event loop's thread.
class ControlWatch {
 public:
  struct Options {
    std::string own_endpoint_;
    std::string failure_domain_;
    std::vector<std::string> seeds_;
  };
  struct Hooks {
    /// An update of the VM that leads, or a configuration of one that does not,
    /// for want of any.
    std::function<void(wire::fleet::WatchUpdate* update)> updated_;
    /// Version of the configuration held; nothing when there is none.
    std::function<std::optional<uint64_t>()> config_version_;
    std::function<bool()> knows_gateways_;
    /// Adds what the gateway was told of pools and their owners.
    std::function<void(wire::fleet::WatchRequest* request)> add_owners_;
  };

  ControlWatch(boost::asio::io_context* io,
               Options options,
               EventLog* log,
               Hooks hooks);
  ~ControlWatch();
  ControlWatch(const ControlWatch&) = delete;
  ControlWatch& operator=(const ControlWatch&) = delete;

  void SetSeeds(std::vector<std::string> seeds);
  /// This gateway takes no new work any more: told at once.
  void SetStopping();
  /// Call every 50 ms.
  void Tick(TimePoint now);

  bool is_connected() const { return has_leader_; }

 private:
  void Connect(TimePoint now);
  void Ask();
  void Take(wire::fleet::Frame* frame);
  void LeaveCandidate(const std::string& reason, TimePoint now);

  boost::asio::io_context* const io_;
  Options options_;
  EventLog* const log_;
  const Hooks hooks_;
  const TimePoint started_;
  std::unique_ptr<FrameLink> link_;
  std::vector<std::string> members_;
  std::string leader_hint_;
  size_t next_candidate_ = 0;
  TimePoint asked_;
  TimePoint last_update_;
  /// How long a candidate may take to answer at all.
  Duration first_patience_;
  TimePoint next_connect_;
  bool has_leader_ = false;
  bool stopping_ = false;
  bool lost_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_CONTROL_WATCH_H_
