#ifndef CITRONLANE_RELAY_CONTROL_WATCH_H_
#define CITRONLANE_RELAY_CONTROL_WATCH_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
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

/// Keeps a gateway connected to the control VM that leads. While it knows none
/// it keeps a connection to all it has heard of, so that it hears of the next
/// leader from that one itself; then it leaves the others. On the event loop's
/// thread.
class ControlWatch {
 public:
  struct Options {
    std::string own_endpoint_;
    std::string failure_domain_;
    std::vector<std::string> seeds_;
  };
  struct Hooks {
    /// An update of the VM that leads, or what one that does not knows of the
    /// configuration or of other gateways, for want of any.
    std::function<void(wire::fleet::WatchUpdate* update)> updated_;
    /// Version of the configuration held; nothing when there is none. Told to
    /// control again after each update that brought one.
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

  bool is_connected() const { return !leader_.empty(); }

 private:
  /// A control VM that may lead.
  struct Candidate {
    std::unique_ptr<FrameLink> link_;
    TimePoint asked_;
    TimePoint heard_;
    /// How long it may take to answer at all.
    Duration first_patience_{};
    TimePoint next_connect_;
    /// When to confirm the configuration that came last; nothing when that is
    /// done.
    std::optional<TimePoint> confirm_at_;
    bool is_lost_ = false;
  };

  std::set<std::string> Wanted() const;
  void Connect(const std::string& endpoint,
               Candidate* candidate,
               TimePoint now);
  void CheckAlive(const std::string& endpoint,
                  Candidate* candidate,
                  TimePoint now);
  void Leave(const std::string& endpoint,
             Candidate* candidate,
             const std::string& reason,
             TimePoint now);
  void Ask(FrameLink* link);
  void Take(const std::string& endpoint, wire::fleet::Frame* frame);
  void TakeUpdate(const std::string& endpoint,
                  wire::fleet::WatchUpdate* update);
  void ConfirmConfig(Candidate* candidate);

  boost::asio::io_context* const io_;
  Options options_;
  EventLog* const log_;
  const Hooks hooks_;
  const TimePoint started_;
  std::map<std::string, Candidate> candidates_;
  std::vector<std::string> members_;
  /// The one that leads, and one that is said to; empty when there is none.
  std::string leader_;
  std::string leader_hint_;
  /// A leader was found once: what others say of gateways is older.
  bool had_leader_ = false;
  bool stopping_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_CONTROL_WATCH_H_
