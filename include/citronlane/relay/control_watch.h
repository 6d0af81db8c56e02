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
#include "citronlane/fleet/gateway_load.h"
#include "citronlane/serving/gateway_capacity.h"

namespace citronlane {

class EventLog;
class FrameLink;

namespace wire::fleet {
class Frame;
class StreamOriginAnswer;
class WatchRequest;
class WatchUpdate;
}  // namespace wire::fleet

/// Keeps a gateway connected to the leader among the control VMs and passes on
/// its updates. While no leader is known, it keeps a connection to every
/// control VM it knows, so that the next leader itself announces its
/// leadership; then it closes the others. It does not interpret the updates.
/// Used on the event loop's thread.
class ControlWatch {
 public:
  struct Options {
    std::string own_endpoint_;
    std::string failure_domain_;
    std::vector<std::string> seeds_;
    /// Where this gateway takes requests that others forward.
    std::string relay_address_{};
    GatewayCapacity capacity_{};
  };
  struct Hooks {
    /// Called with each update of the leader. While there is none, also with
    /// another VM's update that contains a configuration if this gateway has
    /// none, or gateways if it never had a leader.
    std::function<void(wire::fleet::WatchUpdate* update)> updated_;
    /// Version of the configuration held; nothing when there is none. Sent to
    /// control again after each update that contained a configuration.
    std::function<std::optional<uint64_t>()> config_version_;
    /// Whether this gateway has a list of gateways.
    std::function<bool()> knows_gateways_;
    /// The leader was found, and Send() reaches it.
    std::function<void()> leader_found_;
    /// Called with each answer about a stream, of any control VM. May be empty.
    std::function<void(const wire::fleet::StreamOriginAnswer& answer)>
        origin_answer_;
    /// Adds the pool owners that this gateway knows.
    std::function<void(wire::fleet::WatchRequest* request)> add_owners_;
  };

  ControlWatch(boost::asio::io_context* io,
               Options options,
               EventLog* log,
               Hooks hooks);
  ~ControlWatch();
  ControlWatch(const ControlWatch&) = delete;
  ControlWatch& operator=(const ControlWatch&) = delete;

  /// Replaces the seeds: endpoints of control VMs. An empty list is ignored.
  void SetSeeds(std::vector<std::string> seeds);
  /// This gateway takes no new work any more; sends that to the leader
  /// immediately.
  void SetStopping();
  /// Whether this gateway reaches no backend server; sends that to the leader
  /// immediately.
  void SetCutOff(bool cut_off);
  /// Sends this VM's load to the leader, which then does not respond.
  void ReportLoad(const GatewayLoad& load);
  /// Sends a frame to the leader; drops it when none is connected.
  void Send(const wire::fleet::Frame& frame);
  /// Sends a frame to the leader or, while there is none, to every control VM
  /// to which there is a connection; drops it when there is none.
  void SendToAny(const wire::fleet::Frame& frame);
  /// Call every 50 ms.
  void Tick(TimePoint now);

  /// Whether this gateway is connected to the leader.
  bool is_connected() const { return !leader_.empty(); }

 private:
  /// Connection to a control VM that may be the leader.
  struct Candidate {
    std::unique_ptr<FrameLink> link_;
    TimePoint requested_;
    TimePoint last_update_;
    /// How long to wait for its first reply.
    Duration first_reply_timeout_{};
    TimePoint next_connect_;
    /// When to acknowledge the last configuration; nothing when none is due.
    std::optional<TimePoint> confirm_at_;
    bool is_lost_ = false;
  };

  std::set<std::string> EndpointsToWatch() const;
  /// Connection to the leader; null when there is none.
  FrameLink* LeaderLink() const;
  void Connect(const std::string& endpoint,
               Candidate* candidate,
               TimePoint now);
  void CheckAlive(const std::string& endpoint,
                  Candidate* candidate,
                  TimePoint now);
  void Disconnect(const std::string& endpoint,
                  Candidate* candidate,
                  const std::string& reason,
                  TimePoint now);
  void SendWatchRequest(FrameLink* link, bool with_owners);
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
  /// Endpoint of the leader, and of the leader that another VM named; empty
  /// when there is none.
  std::string leader_;
  std::string leader_hint_;
  /// Whether a leader was ever connected. Then what other VMs know of gateways
  /// is older than the leader's list.
  bool had_leader_ = false;
  bool stopping_ = false;
  bool cut_off_ = false;
  /// As reported last.
  GatewayLoad load_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_CONTROL_WATCH_H_
