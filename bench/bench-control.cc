// Measures control as processes of its own with real syncs: three nodes, and
// stand-in watchers in this process. Prints JSON in Google Benchmark's form.
// Usage: bench-control [--benchmark_out=FILE] [FOLDER]; the folder has to lie
// on the disk that is to be measured.

#include <sys/stat.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "citronlane/base/sha256.h"
#include "citronlane/cli/admin_client.h"
#include "citronlane/json/fault.h"
#include "citronlane/json/parse.h"
#include "control/measure.h"
#include "control/node_host.h"
#include "control/traffic.h"
#include "control/watchers.h"

namespace citronlane::bench {
namespace {

using Figures = std::vector<std::pair<std::string, double>>;

constexpr uint64_t kNodes = 3;
constexpr size_t kChanges = 20;
constexpr uint64_t kAnswerMs = 1000;
constexpr size_t kRestartChanges = 1000;
constexpr std::chrono::seconds kIdleTime(6);
constexpr std::chrono::milliseconds kClaimTime(1500);
constexpr std::chrono::seconds kSettle(4);
constexpr std::chrono::seconds kDeadline(60);
constexpr std::chrono::seconds kFailoverTime(5);

class Bench {
 public:
  explicit Bench(const std::string& folder);

  void Run();
  std::string Report() const;

 private:
  static ControlOptions Options();
  void Add(const std::string& name, Figures figures);
  JsonValue Get(const std::string& path);
  /// Commits one change.
  void Change();
  /// Applies a change and waits until the administration API reports it in
  /// force everywhere. Returns the time in milliseconds.
  double Apply();
  uint64_t Leader();
  void WatchersRun(size_t count);
  void ClaimsRun(Watchers* watchers, size_t in_flight);
  /// Makes claims continuously while `disturb` runs; reports the longest time
  /// without a committed claim.
  void FailoverRun(const std::string& name,
                   Watchers* watchers,
                   const std::function<void()>& disturb);
  void RestartRun();

  const ControlOptions options_;
  NodeHost host_;
  std::vector<std::string> addresses_;
  std::set<uint16_t> ports_;
  std::unique_ptr<AdminClient> admin_;
  uint64_t version_ = 0;
  uint64_t last_key_ = 0;
  std::vector<std::pair<std::string, Figures>> results_;
};

Bench::Bench(const std::string& folder)
    : options_(Options()), host_(options_, folder) {
  std::filesystem::create_directories(folder);
  const std::string key_file = folder + "/key";
  std::ofstream(key_file) << "bench-key";
  chmod(key_file.c_str(), S_IRUSR | S_IWUSR);
  AdminOptions admin;
  admin.key_file_ = key_file;
  admin.timeout_ = kDeadline;
  for (const auto& [id, peer] : options_.peers_) {
    addresses_.push_back(peer.control_);
    admin.addresses_.push_back(peer.admin_);
    ports_.insert(static_cast<uint16_t>(
        std::stoi(peer.control_.substr(peer.control_.rfind(':') + 1))));
  }
  admin_ = std::make_unique<AdminClient>(admin);
}

ControlOptions Bench::Options() {
  ControlOptions options;
  for (uint64_t id = 1; id <= kNodes; ++id) {
    options.peers_[id] = {FreeAddress(), FreeAddress(), FreeAddress()};
  }
  options.operators_ = {
      {"bench", Sha256Hex("bench-key"), OperatorRole::kChange}};
  return options;
}

void Bench::Run() {
  for (uint64_t id = 1; id <= kNodes; ++id) {
    host_.Start(id);
  }
  Leader();
  // A node that has just started can't yet tell whether a version is in force
  // everywhere.
  std::this_thread::sleep_for(kSettle);
  for (const size_t count : {size_t{0}, size_t{3}, size_t{30}, size_t{120}}) {
    WatchersRun(count);
  }
  {
    Watchers watchers(addresses_, 4);
    WaitFor("leases", [&] { return watchers.AllHave(version_); });
    for (const size_t in_flight : {size_t{1}, size_t{64}, size_t{512}}) {
      ClaimsRun(&watchers, in_flight);
    }
    uint64_t leader = Leader();
    FailoverRun("kill", &watchers, [&] { host_.Signal(leader, SIGKILL); });
    host_.Start(leader);
    std::this_thread::sleep_for(kSettle);
    leader = Leader();
    FailoverRun("cut", &watchers, [&] { host_.Signal(leader, SIGSTOP); });
    host_.Signal(leader, SIGCONT);
  }
  RestartRun();
}

std::string Bench::Report() const {
  JsonValue list = JsonValue::Array();
  for (const auto& [name, figures] : results_) {
    JsonValue item = JsonValue::Object();
    item.Set("name", JsonValue::String(name));
    for (const auto& [figure, value] : figures) {
      item.Set(figure, JsonValue::Number(value));
    }
    list.Append(std::move(item));
  }
  JsonValue report = JsonValue::Object();
  report.Set("benchmarks", std::move(list));
  return WriteJson(report);
}

void Bench::Add(const std::string& name, Figures figures) {
  std::fprintf(stderr, "%s", name.c_str());
  for (const auto& [figure, value] : figures) {
    std::fprintf(stderr, " %s=%.3f", figure.c_str(), value);
  }
  std::fprintf(stderr, "\n");
  results_.emplace_back(name, std::move(figures));
}

JsonValue Bench::Get(const std::string& path) {
  Error error;
  const auto reply = admin_->Get(path, &error);
  if (!reply) {
    Die(path + ": " + error.message_);
  }
  return reply->body_;
}

void Bench::Change() {
  JsonValue body = JsonValue::Object();
  Fault fault;
  body.Set("patch",
           *ParseJson(R"({"classes":{"chat":{"answer_ms":)" +
                          std::to_string(kAnswerMs + version_ % 500) + "}}}",
                      &fault));
  body.Set("reason", JsonValue::String("bench"));
  body.Set("base_version", JsonValue::Number(static_cast<double>(version_)));
  body.Set("change_id", JsonValue::String("c" + std::to_string(version_)));
  Error error;
  const auto reply = admin_->Post("/v1/config/changes", body, &error);
  if (!reply || reply->body_.Find("version") == nullptr) {
    Die("a change failed: " + error.message_);
  }
  ++version_;
}

double Bench::Apply() {
  const auto begin = Clock::now();
  Change();
  const std::string path =
      "/v1/config/status?version=" + std::to_string(version_);
  WaitFor("a change to be in force", [&] {
    const JsonValue status = Get(path);
    const JsonValue* in_force = status.Find("in_force");
    return in_force != nullptr && in_force->AsBool();
  });
  return Seconds(Clock::now() - begin) * 1000;
}

uint64_t Bench::Leader() {
  uint64_t leader = 0;
  WaitFor("a leader", [&] {
    const JsonValue members = Get("/v1/members");
    const JsonValue* found = members.Find("leader");
    leader = found == nullptr ? 0 : static_cast<uint64_t>(found->AsNumber());
    return leader != 0;
  });
  return leader;
}

void Bench::WatchersRun(size_t count) {
  const Watchers watchers(addresses_, count);
  Apply();
  WaitFor("leases", [&] { return watchers.AllHave(version_); });
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const auto idle_begin = Clock::now();
  const Traffic traffic = Traffic::Read(ports_);
  const double own_cpu = OwnCpuSeconds();
  const double node_cpu = host_.CpuSeconds();
  std::this_thread::sleep_for(kIdleTime);
  const double idle = Seconds(Clock::now() - idle_begin);
  const Traffic idle_end = Traffic::Read(ports_);
  const double each = count == 0 ? 1 : static_cast<double>(count);
  const double idle_bytes =
      (idle_end.WireBytes() - traffic.WireBytes()) / idle / each;
  Figures figures = {
      {"idle_bytes_per_watcher_second", idle_bytes},
      {"idle_payload_bytes_per_watcher_second",
       (idle_end.payload_bytes_ - traffic.payload_bytes_) / idle / each},
      {"idle_watcher_cpu_share", (OwnCpuSeconds() - own_cpu) / idle / each},
      {"idle_nodes_cpu_share", (host_.CpuSeconds() - node_cpu) / idle}};
  std::vector<double> times;
  const auto begin = Clock::now();
  const double changes_node_cpu = host_.CpuSeconds();
  for (size_t i = 0; i < kChanges; ++i) {
    times.push_back(Apply());
  }
  const double took = Seconds(Clock::now() - begin);
  const double bytes = Traffic::Read(ports_).WireBytes() - idle_end.WireBytes();
  figures.emplace_back("bytes_per_watcher_change",
                       (bytes / each - idle_bytes * took) / kChanges);
  figures.emplace_back(
      "nodes_cpu_ms_per_change",
      (host_.CpuSeconds() - changes_node_cpu) * 1000 / kChanges);
  figures.emplace_back("in_force_ms_p50", Quantile(times, 0.5));
  figures.emplace_back("in_force_ms_max", Quantile(times, 1));
  figures.emplace_back("node_resident_mb", host_.ResidentMb());
  Add("control/watchers/" + std::to_string(count), std::move(figures));
}

void Bench::ClaimsRun(Watchers* watchers, size_t in_flight) {
  std::mutex mutex;
  std::vector<double> times;
  size_t failed = 0;
  const auto begin = Clock::now();
  const auto end = begin + kClaimTime;
  std::atomic<size_t> open{0};
  std::function<void(size_t)> claim = [&](size_t slot) {
    const auto sent = Clock::now();
    if (sent >= end) {
      --open;
      return;
    }
    std::string key;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      key = std::to_string(++last_key_);
    }
    watchers->client(slot % watchers->size())
        .Claim({"shop", key, Sha256(key)},
               [&, slot, sent](const ClaimAnswer& answer) {
                 {
                   const std::lock_guard<std::mutex> lock(mutex);
                   if (answer.result_ == ClaimAnswer::Result::kGranted) {
                     times.push_back(Seconds(Clock::now() - sent) * 1000);
                   } else {
                     ++failed;
                   }
                 }
                 claim(slot);
               });
  };
  open = in_flight;
  for (size_t slot = 0; slot < in_flight; ++slot) {
    claim(slot);
  }
  WaitFor("claims to end", [&] { return open == 0; });
  const double took = Seconds(Clock::now() - begin);
  Add("control/claims/" + std::to_string(in_flight),
      {{"claims_per_second", static_cast<double>(times.size()) / took},
       {"claim_ms_p50", Quantile(times, 0.5)},
       {"claim_ms_p99", Quantile(times, 0.99)},
       {"failed", static_cast<double>(failed)}});
}

void Bench::FailoverRun(const std::string& name,
                        Watchers* watchers,
                        const std::function<void()>& disturb) {
  double longest = 0;
  size_t lapsed = 0;
  size_t failed = 0;
  auto last = Clock::now();
  const auto end = last + kFailoverTime;
  std::thread disturber([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    disturb();
  });
  while (Clock::now() < end) {
    const std::string key = std::to_string(++last_key_);
    std::promise<ClaimAnswer> answer;
    watchers->client(0).Claim(
        {"shop", key, Sha256(key)},
        [&answer](ClaimAnswer result) { answer.set_value(std::move(result)); });
    const bool granted =
        answer.get_future().get().result_ == ClaimAnswer::Result::kGranted;
    failed += granted ? 0 : 1;
    longest = std::max(longest, Seconds(Clock::now() - last) * 1000);
    last = Clock::now();
    lapsed = std::max(lapsed, watchers->Lapsed());
  }
  disturber.join();
  Add("control/failover/" + name,
      {{"longest_pause_ms", longest},
       {"claims_failed", static_cast<double>(failed)},
       {"watchers_lapsed", static_cast<double>(lapsed)}});
}

void Bench::RestartRun() {
  const auto begin = Clock::now();
  for (size_t i = 0; i < kRestartChanges; ++i) {
    Change();
  }
  const double changes = Seconds(Clock::now() - begin);
  for (uint64_t id = 1; id <= kNodes; ++id) {
    host_.Signal(id, SIGKILL);
  }
  const auto restart = Clock::now();
  for (uint64_t id = 1; id <= kNodes; ++id) {
    host_.Start(id);
  }
  WaitFor("the version after a restart", [&] {
    const JsonValue config = Get("/v1/config");
    const JsonValue* version = config.Find("version");
    return version != nullptr &&
           version->AsNumber() == static_cast<double>(version_);
  });
  Add("control/restart",
      {{"changes_per_second", kRestartChanges / changes},
       {"restart_ms", Seconds(Clock::now() - restart) * 1000}});
}

}  // namespace
}  // namespace citronlane::bench

int main(int argc, char** argv) {
  constexpr char kOut[] = "--benchmark_out=";
  std::string out;
  std::string folder = "bench-control-data";
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    if (argument.rfind(kOut, 0) == 0) {
      out = argument.substr(sizeof(kOut) - 1);
    } else if (argument.rfind("--", 0) != 0) {
      folder = argument;
    }
  }
  std::filesystem::remove_all(folder);
  std::string report;
  {
    citronlane::bench::Bench bench(folder);
    bench.Run();
    report = bench.Report();
  }
  std::filesystem::remove_all(folder);
  std::printf("%s\n", report.c_str());
  if (!out.empty()) {
    std::ofstream(out) << report << '\n';
  }
  return 0;
}
