#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <filesystem>
#include <future>
#include <mutex>
#include <random>

#include <catch2/catch.hpp>

#include "citronlane/app/control_node.h"
#include "citronlane/config/cluster_config.h"
#include "citronlane/transport/control_client.h"

namespace citronlane {
namespace {

constexpr std::chrono::seconds kLimit(20);

// A free port below those the kernel hands out by itself.
std::string FreeAddress() {
  constexpr uint32_t kFirst = 20000;
  constexpr uint32_t kCount = 12000;
  static std::mt19937 random(static_cast<uint32_t>(getpid()));
  for (int tries = 0; tries < 1000; ++tries) {
    const auto port = static_cast<uint16_t>(kFirst + random() % kCount);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool free =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    if (free) {
      return "127.0.0.1:" + std::to_string(port);
    }
  }
  throw std::runtime_error("no free port");
}

bool WaitUntil(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kLimit;
  while (std::chrono::steady_clock::now() < end) {
    if (condition()) {
      return true;
    }
    usleep(5000);
  }
  return false;
}

// Three control nodes in this process, on disk folders of their own.
class Cluster {
 public:
  Cluster() {
    folder_ = std::filesystem::temp_directory_path() /
              ("citronlane-control-" + std::to_string(getpid()));
    std::filesystem::remove_all(folder_);
    for (uint64_t id = 1; id <= 3; ++id) {
      peers_[id] = {FreeAddress(), FreeAddress(), FreeAddress()};
    }
    for (uint64_t id = 1; id <= 3; ++id) {
      Start(id);
    }
  }
  ~Cluster() {
    nodes_.clear();
    std::filesystem::remove_all(folder_);
  }

  void Start(uint64_t id) {
    ControlOptions options;
    options.replica_.raft_.id_ = id;
    options.replica_.data_dir_ = folder_ / std::to_string(id);
    options.peers_ = peers_;
    Error error;
    nodes_[id] = std::make_unique<ControlNode>(options, ControlNodeHooks());
    INFO(error.message_);
    REQUIRE(nodes_[id]->Start(&error));
  }
  void Stop(uint64_t id) { nodes_.erase(id); }

  uint64_t Leader() {
    uint64_t leader = 0;
    REQUIRE(WaitUntil([&] {
      for (const auto& [id, node] : nodes_) {
        if (node->replica_status().role_ == Role::kLeader &&
            node->replica_status().leader_lease_) {
          leader = id;
        }
      }
      return leader != 0;
    }));
    return leader;
  }

  std::map<uint64_t, ControlPeer> peers_;
  std::map<uint64_t, std::unique_ptr<ControlNode>> nodes_;

 private:
  std::filesystem::path folder_;
};

// A gateway as control sees it.
class Gateway {
 public:
  Gateway(const Cluster& cluster, const std::string& name, uint64_t incarnation)
      : client_(Options(cluster, name, incarnation), Hooks()) {
    client_.Start();
  }
  ~Gateway() { client_.Stop(); }

  ClaimAnswer Claim(const std::string& key) {
    std::promise<ClaimAnswer> answer;
    client_.Claim({"shop", key, "digest"}, [&answer](ClaimAnswer result) {
      answer.set_value(std::move(result));
    });
    return answer.get_future().get();
  }
  bool Finish(const std::string& key, const std::string& body) {
    std::promise<bool> done;
    client_.Finish({"shop", key, "digest"}, {200, "text/plain", body},
                   [&done](bool result) { done.set_value(result); });
    return done.get_future().get();
  }
  bool HasLease() {
    const TimePoint until = lease_;
    return until > std::chrono::steady_clock::now();
  }

  std::atomic<uint64_t> version_{0};
  std::atomic<TimePoint> lease_{TimePoint{}};
  ControlClient client_;

 private:
  static ControlClientOptions Options(const Cluster& cluster,
                                      const std::string& name,
                                      uint64_t incarnation) {
    ControlClientOptions options;
    options.gateway_ = name;
    options.incarnation_ = incarnation;
    for (const auto& [id, peer] : cluster.peers_) {
      options.addresses_.push_back(peer.control_);
    }
    return options;
  }
  ControlClientHooks Hooks() {
    ControlClientHooks hooks;
    hooks.on_config_ =
        [this](const std::shared_ptr<const ClusterConfig>& config) {
          version_ = config->version_;
        };
    hooks.on_lease_ = [this](TimePoint until) { lease_ = until; };
    return hooks;
  }
};

}  // namespace

TEST_CASE("control nodes") {
  Cluster cluster;
  Gateway first(cluster, "g1", 1);
  Gateway second(cluster, "g2", 1);

  SECTION("grant a claim once") {
    CHECK(first.Claim("a").result_ == ClaimAnswer::Result::kGranted);
    CHECK(first.Claim("a").result_ == ClaimAnswer::Result::kRunning);
    CHECK(second.Claim("a").result_ == ClaimAnswer::Result::kRunning);
    REQUIRE(first.Finish("a", "answer"));
    cluster.Stop(cluster.Leader());
    CHECK(second.Claim("a").stored_.body_ == "answer");
  }
}

}  // namespace citronlane
