#include <catch2/catch.hpp>

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "citronlane/base/error.h"
#include "citronlane/base/steady_now.h"
#include "citronlane/control/cluster_member.h"
#include "citronlane/net/frame_channel.h"
#include "citronlane/net/frame_listener.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/serving/node_settings.h"
#include "citronlane/state/fleet_state.h"
#include "fleet.pb.h"
#include "support/eventually.h"
#include "support/free_endpoint.h"

namespace citronlane {
namespace {

using wire::fleet::Frame;

/// A control VM that counts the copies it gets of what gateways reported.
class Member {
 public:
  Member(boost::asio::io_context* io, const NodeSettings& settings)
      : endpoint_(settings.internal_listen_),
        member_(io, settings, &state_, &log_, {[](bool) {}, [] {}}),
        listener_(io,
                  endpoint_,
                  {[this](const std::shared_ptr<FrameChannel>& channel,
                          Frame* frame) { Take(channel, frame); },
                   [](const FrameChannel*) {}}) {
    Error error;
    REQUIRE(listener_.Start(&error));
  }

  void Tick() {
    if (!is_lost_) {
      member_.Tick(SteadyNow());
    }
  }
  /// It does nothing more.
  void Lose() { is_lost_ = true; }

  ClusterMember* member() { return &member_; }
  const FleetState& state() const { return state_; }
  int copies() const { return copies_; }

 private:
  void Take(const std::shared_ptr<FrameChannel>& channel, Frame* frame) {
    if (frame->has_stream_origins()) {
      ++copies_;
    } else if (!is_lost_) {
      member_.HandleFrame(channel, frame, SteadyNow());
    }
  }

  const std::string endpoint_;
  FleetState state_;
  EventLog log_{"control",
                {[](std::string_view) { return true; }, SteadyNow,
                 [] { return int64_t{0}; }}};
  ClusterMember member_;
  FrameListener listener_;
  bool is_lost_ = false;
  int copies_ = 0;
};

/// Control VMs that form a cluster, on disks in a folder of their own.
class Cluster {
 public:
  explicit Cluster(size_t size)
      : root_(std::filesystem::temp_directory_path() /
              ("unit-cluster-member-" + std::to_string(::getpid()))) {
    std::filesystem::remove_all(root_);
    NodeSettings settings;
    settings.first_start_ = true;
    for (size_t i = 0; i < size; ++i) {
      settings.seeds_.push_back(FreeEndpoint(&io_));
    }
    for (const std::string& endpoint : settings.seeds_) {
      settings.internal_listen_ = endpoint;
      settings.data_dir_ = root_ / endpoint;
      std::filesystem::create_directories(settings.data_dir_);
      settings_.push_back(settings);
      members_.push_back(std::make_unique<Member>(&io_, settings));
    }
  }
  ~Cluster() {
    members_.clear();
    std::filesystem::remove_all(root_);
  }
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  bool Until(const std::function<bool()>& condition) {
    return Eventually([&] {
      for (const auto& member : members_) {
        member->Tick();
      }
      io_.restart();
      io_.poll();
      return condition();
    });
  }
  bool HasLeader() {
    return std::all_of(
        members_.begin(), members_.end(),
        [](const auto& member) { return !member->member()->leader().empty(); });
  }

  /// Starts the control VM again, on the disk that it had.
  void Restart(size_t index) {
    members_[index].reset();
    members_[index] = std::make_unique<Member>(&io_, settings_[index]);
  }
  /// The index of the control VM that leads; the size when none does.
  size_t Leader() const {
    const auto leads = [](const auto& member) {
      return member->member()->Leads(SteadyNow());
    };
    return static_cast<size_t>(
        std::find_if(members_.begin(), members_.end(), leads) -
        members_.begin());
  }

  std::vector<std::unique_ptr<Member>> members_;

 private:
  const std::filesystem::path root_;
  std::vector<NodeSettings> settings_;
  boost::asio::io_context io_;
};

}  // namespace

TEST_CASE("a control VM sends a frame to the other members") {
  Cluster cluster(3);
  auto& members = cluster.members_;
  Frame frame;
  frame.mutable_stream_origins()->set_is_copy(true);

  SECTION("none before the cluster is formed") {
    members[0]->member()->SendToMembers(frame);
    REQUIRE(cluster.Until([&] { return cluster.HasLeader(); }));
    CHECK(members[1]->copies() == 0);
    CHECK(members[2]->copies() == 0);
  }

  REQUIRE(cluster.Until([&] { return cluster.HasLeader(); }));

  // Members that don't lead have no other reason to connect to each other.
  SECTION("whether it leads or not") {
    for (const auto& member : members) {
      member->member()->SendToMembers(frame);
    }
    CHECK(cluster.Until([&] {
      return std::all_of(
          members.begin(), members.end(),
          [](const auto& member) { return member->copies() == 2; });
    }));
  }
  SECTION("also while another one is lost") {
    members[2]->Lose();
    members[0]->member()->SendToMembers(frame);
    CHECK(cluster.Until([&] { return members[1]->copies() == 1; }));
    members[1]->member()->SendToMembers(frame);
    CHECK(cluster.Until([&] { return members[0]->copies() == 1; }));
  }
}

TEST_CASE("a control VM knows that all members apply new commands") {
  Cluster cluster(3);
  auto& members = cluster.members_;
  const auto leader_knows = [&] {
    const size_t leader = cluster.Leader();
    return leader < members.size() &&
           members[leader]->member()->all_apply_new_commands();
  };
  REQUIRE(cluster.Until(leader_knows));
  REQUIRE(cluster.Until([&] {
    return std::all_of(members.begin(), members.end(), [](const auto& member) {
      return member->state().log_format() > 0;
    });
  }));

  SECTION("after it started again while another member is lost") {
    members[2]->Lose();
    cluster.Restart(0);
    cluster.Restart(1);
    REQUIRE(cluster.Until([&] { return cluster.Leader() < 2; }));
    CHECK(cluster.Until(leader_knows));
  }
}

}  // namespace citronlane
