#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <future>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include <catch2/catch.hpp>

#include "citronlane/base/sha256.h"
#include "citronlane/cli/admin_client.h"
#include "citronlane/config/cluster_config.h"
#include "citronlane/control/control_node.h"
#include "citronlane/control/detail/control_state.h"
#include "citronlane/json/parse.h"
#include "citronlane/transport/admin_server.h"
#include "citronlane/transport/control_client.h"
#include "support/eventually.h"

namespace citronlane {
namespace {

constexpr std::chrono::seconds kLimit(20);

// Returns a free address with a port below the ephemeral range; another one
// each time.
std::string FreeAddress() {
  constexpr uint32_t kFirst = 20000;
  constexpr uint32_t kCount = 12000;
  static uint32_t next = std::mt19937(static_cast<uint32_t>(getpid()))();
  for (int tries = 0; tries < 1000; ++tries) {
    const auto port = static_cast<uint16_t>(kFirst + next++ % kCount);
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

// The platform's VM list and two engines, behind one address.
class Backends {
 public:
  Backends()
      : server_(address_, {}, [this](const AdminRequest& request) {
          const std::lock_guard<std::mutex> lock(mutex_);
          AdminResponse response;
          if (request.path_ == "/v1/vms") {
            response.body_ = vms_;
          } else {
            orders_.emplace_back(request.body_.view());
          }
          return response;
        }) {
    Error error;
    REQUIRE(server_.Start(&error));
  }
  void SetVms(const std::string& vms) {
    const std::lock_guard<std::mutex> lock(mutex_);
    vms_ = R"({"vms":[)" + vms + "]}";
  }
  std::vector<std::string> orders() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return orders_;
  }

  const std::string address_ = FreeAddress();

 private:
  std::mutex mutex_;
  std::string vms_ = R"({"vms":[]})";
  std::vector<std::string> orders_;
  AdminServer server_;
};

// Three control nodes in this process, each with a data folder of its own.
class Cluster {
 public:
  Cluster() {
    folder_ = std::filesystem::temp_directory_path() /
              ("citronlane-control-" + std::to_string(getpid()));
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directory(folder_);
    for (uint64_t id = 1; id <= 3; ++id) {
      peers_[id] = {FreeAddress(), FreeAddress(), FreeAddress()};
    }
    for (const char* name : {"ana", "ben", "eve", "nobody"}) {
      std::ofstream(KeyFile(name)) << name << "-key";
      chmod(KeyFile(name).c_str(), S_IRUSR | S_IWUSR);
    }
    StartAll();
  }
  ~Cluster() {
    nodes_.clear();
    std::filesystem::remove_all(folder_);
  }

  // The key of an operator is "<name>-key".
  std::string KeyFile(const std::string& name) const {
    return folder_ / (name + ".key");
  }
  void StartAll() {
    for (const auto& peer : peers_) {
      Start(peer.first);
    }
  }
  void Start(uint64_t id) {
    ControlOptions options;
    options.replica_.raft_.id_ = id;
    options.replica_.data_dir_ = folder_ / std::to_string(id);
    options.replica_.snapshot_interval_ = 64;
    options.platform_ = backends_.address_;
    options.platform_interval_ = std::chrono::milliseconds(20);
    options.peers_ = peers_;
    options.operators_ = {{"ana", Sha256Hex("ana-key"), OperatorRole::kChange},
                          {"ben", Sha256Hex("ben-key"), OperatorRole::kChange},
                          {"eve", Sha256Hex("eve-key"), OperatorRole::kRead}};
    Error error;
    nodes_[id] = std::make_unique<ControlNode>(options, ControlNodeHooks());
    const bool started = nodes_[id]->Start(&error);
    INFO(error.message_);
    REQUIRE(started);
  }
  void Stop(uint64_t id) { nodes_.erase(id); }

  uint64_t Leader() {
    uint64_t leader = 0;
    REQUIRE(Eventually([&] {
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

  Backends backends_;
  std::map<uint64_t, ControlPeer> peers_;
  std::map<uint64_t, std::unique_ptr<ControlNode>> nodes_;

 private:
  std::filesystem::path folder_;
};

// An operator's client.
class Operator {
 public:
  Operator(const Cluster& cluster, const std::string& name) {
    AdminOptions options;
    for (const auto& [id, peer] : cluster.peers_) {
      options.addresses_.push_back(peer.admin_);
    }
    options.key_file_ = cluster.KeyFile(name);
    options.timeout_ = kLimit;
    client_ = std::make_unique<AdminClient>(options);
  }

  AdminReply Get(const std::string& path) {
    Error error;
    const auto reply = client_->Get(path, &error);
    return reply.value_or(AdminReply());
  }
  AdminReply Post(const std::string& path, const std::string& body) {
    Fault fault;
    Error error;
    const auto reply = client_->Post(path, *ParseJson(body, &fault), &error);
    return reply.value_or(AdminReply());
  }
  // A change that sets the target of the class "chat".
  AdminReply Change(uint64_t base, const std::string& id, int answer_ms) {
    return Post("/v1/config/changes",
                R"({"reason":"test","base_version":)" + std::to_string(base) +
                    R"(,"change_id":")" + id +
                    R"(","patch":{"classes":{"chat":{"answer_ms":)" +
                    std::to_string(answer_ms) + "}}}}");
  }

 private:
  std::unique_ptr<AdminClient> client_;
};

std::string Text(const AdminReply& reply, const char* member) {
  const JsonValue* value = reply.body_.Find(member);
  if (value == nullptr) {
    return "";
  }
  return value->IsString() ? value->AsString() : WriteJson(*value);
}

// The control client of a gateway.
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
  bool Release(const std::string& key) {
    std::promise<bool> done;
    client_.Release({"shop", key, "digest"},
                    [&done](bool result) { done.set_value(result); });
    return done.get_future().get();
  }
  bool HasLease() const {
    return lease_.load() > std::chrono::steady_clock::now();
  }
  bool IsLeaving(const std::string& server) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return leaving_.count(server) > 0;
  }

  std::atomic<uint64_t> version_{0};
  std::atomic<bool> fell_{false};
  std::atomic<TimePoint> lease_{TimePoint{}};

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
          fell_ = fell_ || config->version_ <= version_;
          version_ = config->version_;
        };
    hooks.on_lease_ = [this](TimePoint until) { lease_ = until; };
    hooks.on_leaving_ = [this](std::string_view server, uint64_t) {
      const std::lock_guard<std::mutex> lock(mutex_);
      leaving_.insert(std::string(server));
    };
    hooks.on_live_ = [this](std::string_view server, uint64_t) {
      const std::lock_guard<std::mutex> lock(mutex_);
      leaving_.erase(std::string(server));
    };
    return hooks;
  }

  std::mutex mutex_;
  std::set<std::string> leaving_;

 public:
  ControlClient client_;
};

}  // namespace

TEST_CASE("control state") {
  SECTION("counts registration as contact of a gateway") {
    ControlState state(std::chrono::seconds(3), 1, [](std::string_view) {});
    wire::StateCommand command;
    wire::GatewayId* gateway =
        command.mutable_register_gateway()->mutable_gateway();
    gateway->set_name("g");
    for (const uint64_t incarnation : {1, 2}) {
      gateway->set_incarnation(incarnation);
      state.Apply(incarnation, command.SerializeAsString());
      REQUIRE(state.observations().count("g") == 1);
      CHECK(state.observations().at("g").incarnation_ == incarnation);
    }
  }
}

TEST_CASE("control nodes") {
  Cluster cluster;
  Operator ana(cluster, "ana");
  REQUIRE(ana.Change(0, "first", 1000).status_ == 200);
  Gateway first(cluster, "g1", 1);
  Gateway second(cluster, "g2", 1);
  const auto in_force = [&](uint64_t version) {
    return Eventually([&] {
      return first.version_ == version && second.version_ == version &&
             first.HasLease() && second.HasLease();
    });
  };
  REQUIRE(in_force(1));

  SECTION("grant a claim once, also over the leader's stop") {
    CHECK(first.Claim("a").result_ == ClaimAnswer::Result::kGranted);
    CHECK(first.Claim("a").result_ == ClaimAnswer::Result::kRunning);
    CHECK(second.Claim("a").result_ == ClaimAnswer::Result::kRunning);
    CHECK(first.Claim("\xff").result_ == ClaimAnswer::Result::kGranted);
    REQUIRE(second.Claim("b").result_ == ClaimAnswer::Result::kGranted);
    REQUIRE(second.Release("b"));
    CHECK(first.Claim("b").result_ == ClaimAnswer::Result::kGranted);
    REQUIRE(first.Finish("a", "answer"));
    cluster.Stop(cluster.Leader());
    CHECK(second.Claim("a").stored_.body_ == "answer");
    CHECK(second.Claim("b").result_ == ClaimAnswer::Result::kRunning);
    Gateway restarted(cluster, "g1", 2);
    CHECK(Eventually([&] {
      return second.Claim("b").result_ == ClaimAnswer::Result::kOwnerLost;
    }));
  }

  SECTION("let one of 50 racing operators win and report it to the others") {
    std::vector<std::thread> threads;
    std::vector<AdminReply> replies(50);
    for (size_t i = 0; i < replies.size(); ++i) {
      threads.emplace_back([&, i] {
        Operator op(cluster, i % 2 == 0 ? "ana" : "ben");
        replies[i] = op.Change(1, "race-" + std::to_string(i),
                               2000 + static_cast<int>(i));
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    const auto winner =
        std::find_if(replies.begin(), replies.end(),
                     [](const AdminReply& r) { return r.status_ == 200; });
    REQUIRE(winner != replies.end());
    const auto index = winner - replies.begin();
    for (const AdminReply& reply : replies) {
      if (&reply == &*winner) {
        continue;
      }
      CHECK(reply.status_ == 409);
      CHECK(Text(reply, "outcome") == "conflict");
      CHECK(Text(reply, "winner_operator") == (index % 2 == 0 ? "ana" : "ben"));
      CHECK(Text(reply, "winner_change_id") == "race-" + std::to_string(index));
    }
    REQUIRE(in_force(2));

    // A resend after a lost response gets the first result.
    REQUIRE(ana.Change(2, "next", 5).status_ == 200);
    const AdminReply again = ana.Change(1, "race-" + std::to_string(index),
                                        2000 + static_cast<int>(index));
    CHECK(Text(again, "version") == "2");
  }

  SECTION("keep the configuration over the leader's stop") {
    for (uint64_t round = 1; round <= 3; ++round) {
      const uint64_t leader = cluster.Leader();
      cluster.Stop(leader);
      const AdminReply reply =
          ana.Change(round, "round-" + std::to_string(round), 3000);
      CHECK(Text(reply, "version") == std::to_string(round + 1));
      REQUIRE(in_force(round + 1));
      cluster.Start(leader);
    }
    const AdminReply rollback = ana.Post(
        "/v1/config/rollback",
        R"({"reason":"t","change_id":"back","base_version":4,"version":1})");
    CHECK(Text(rollback, "version") == "5");
    REQUIRE(in_force(5));
    const AdminReply status = ana.Get("/v1/config/status?version=5");
    CHECK(status.body_.Find("gateways")->items().size() == 2);
    CHECK_FALSE(first.fell_);
    CHECK_FALSE(second.fell_);
  }

  SECTION("let the lease of a gateway expire without a quorum") {
    const uint64_t kept = cluster.Leader();
    for (uint64_t id = 1; id <= 3; ++id) {
      if (id != kept) {
        cluster.Stop(id);
      }
    }
    const TimePoint cut = std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
    REQUIRE(Eventually([&] { return !first.HasLease(); }));
    CHECK(first.lease_.load() <= cut + std::chrono::seconds(3));
    CHECK(first.version_ == 1);
    cluster.Start(kept == 1 ? 2 : 1);
    CHECK(in_force(1));
  }

  SECTION("restart from a snapshot and the log after it after 500 changes") {
    uint64_t version = 1;
    for (int i = 0; i < 500; ++i) {
      const AdminReply reply =
          ana.Change(version, "c" + std::to_string(i), 1000 + i);
      REQUIRE(reply.status_ == 200);
      ++version;
    }
    REQUIRE(in_force(501));
    const std::string digest =
        cluster.nodes_[cluster.Leader()]->config_digest();
    cluster.nodes_.clear();
    cluster.StartAll();
    cluster.Leader();
    REQUIRE(Eventually([&] {
      return std::all_of(cluster.nodes_.begin(), cluster.nodes_.end(),
                         [&](const auto& node) {
                           return node.second->config_version() == 501 &&
                                  node.second->config_digest() == digest;
                         });
    }));
    CHECK(Text(ana.Get("/v1/config"), "digest") == digest);
    CHECK(in_force(501));
    CHECK_FALSE(first.fell_);
  }

  SECTION("answer operators by their role") {
    Operator eve(cluster, "eve");
    Operator nobody(cluster, "nobody");
    CHECK(eve.Get("/v1/config").status_ == 200);
    CHECK(eve.Change(1, "x", 1).status_ == 403);
    CHECK(nobody.Get("/v1/config").status_ == 401);
    CHECK(ana.Get("/v1/none").status_ == 404);
    CHECK(ana.Get("/v1/config/changes").status_ == 405);
    const AdminReply bad = ana.Change(1, "y", -5);
    CHECK(bad.status_ == 422);
    CHECK(WriteJson(bad.body_).find("classes.chat.answer_ms") !=
          std::string::npos);
    CHECK(ana.Post("/v1/config/changes", R"({"patch":{},"document":{}})")
              .status_ == 400);
    CHECK(ana.Get("/v1/members").body_.Find("members")->items().size() == 3);
    CHECK(eve.Get("/v1/status").status_ == 200);
  }

  SECTION("apply the platform's list, and no outdated state in it") {
    cluster.backends_.SetVms(
        R"({"id":"m1","state":"leaving","incarnation":4})");
    REQUIRE(Eventually(
        [&] { return first.IsLeaving("m1") && second.IsLeaving("m1"); }));
    cluster.backends_.SetVms(
        R"({"id":"m1","state":"live","incarnation":4},)"
        R"({"id":"m2","state":"leaving","incarnation":1})");
    REQUIRE(Eventually([&] { return first.IsLeaving("m2"); }));
    CHECK(first.IsLeaving("m1"));
    Gateway third(cluster, "g3", 1);
    REQUIRE(Eventually([&] { return third.IsLeaving("m1"); }));
    cluster.backends_.SetVms(R"({"id":"m1","state":"live","incarnation":5})");
    REQUIRE(Eventually([&] { return !first.IsLeaving("m1"); }));
    CHECK(first.IsLeaving("m2"));
  }

  SECTION("send an engine order once, under the leader's fencing number") {
    const std::string port = cluster.backends_.address_.substr(10);
    const auto pool = [&port](const std::string& checks, const char* server) {
      return R"({"kind":"engine","checks_fencing":)" + checks +
             R"(,"servers":{")" + server +
             R"(":{"address":"127.0.0.1","failure_domain":"a","port":)" + port +
             "}}}";
    };
    const std::string change =
        R"({"reason":"t","base_version":1,"change_id":"pools","patch":{"pools":)"
        R"({"new":)" +
        pool("true", "m1") + R"(,"old":)" + pool("false", "m2") + "}}}";
    REQUIRE(ana.Post("/v1/config/changes", change).status_ == 200);
    const auto order = [&ana](const std::string& server,
                              const std::string& id) {
      return ana
          .Post("/v1/servers/" + server + "/orders",
                R"({"kind":"change_role","role":"prefill","order_id":")" + id +
                    "\"}")
          .status_;
    };
    const auto sent = [&cluster](size_t count) {
      return Eventually(
          [&] { return cluster.backends_.orders().size() == count; });
    };
    CHECK(order("m9", "none") == 404);
    REQUIRE(order("m1", "one") == 200);
    REQUIRE(order("m1", "one") == 200);
    REQUIRE(order("m2", "two") == 200);
    REQUIRE(sent(2));
    const auto number_of = [&cluster](size_t index) {
      Fault fault;
      const auto sent_order =
          ParseJson(cluster.backends_.orders().at(index), &fault);
      return static_cast<int>(sent_order->Find("fencing")->AsNumber());
    };
    // Above 1 when the leadership has changed before.
    const int number = number_of(0);
    CHECK(cluster.backends_.orders().at(0) ==
          R"({"fencing":)" + std::to_string(number) +
              R"(,"order_id":"one","kind":"change_role",)"
              R"("role":"prefill"})");

    // A new leader sends orders at once to an engine that checks fencing
    // numbers; to another one only after every order of the previous leader has
    // ended.
    cluster.Stop(cluster.Leader());
    cluster.Leader();
    REQUIRE(order("m2", "three") == 200);
    REQUIRE(order("m1", "four") == 200);
    REQUIRE(sent(4));
    CHECK(cluster.backends_.orders().at(2).find("four") != std::string::npos);
    CHECK(number_of(3) > number);
    REQUIRE(Eventually([&] {
      const std::string orders = WriteJson(ana.Get("/v1/orders").body_);
      return orders.find("started") == std::string::npos &&
             orders.find("pending") == std::string::npos;
    }));
  }

  SECTION("notify all gateways of a leaving server, and store refusals") {
    REQUIRE(ana.Post("/v1/servers/m1/drain", "{}").status_ == 404);
    first.client_.ReportLeaving("m2", 3);
    CHECK(Eventually([&] { return second.IsLeaving("m2"); }));
    RefusalEntry refusal;
    refusal.id_ = "g1-1-7";
    refusal.reason_ = RefusalReason::kFairShare;
    refusal.class_name_ =
        "no\xff"
        "class";
    refusal.figures_ = {{"used", 12}};
    REQUIRE(first.client_.ReportRefusals({refusal}, 3));
    const AdminReply reply = ana.Get("/v1/refusals/g1-1-7");
    CHECK(Text(reply, "name") == "fair_share");
    CHECK(Text(reply, "class") == "no?class");
    CHECK(WriteJson(*reply.body_.Find("figures")) == R"({"used":12})");
    CHECK(ana.Get("/v1/refusals/other").status_ == 404);
  }
}

}  // namespace citronlane
