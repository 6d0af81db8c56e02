// Measures the replicated log with real syncs and loopback gRPC, all nodes in
// one process, and prints JSON. Usage: bench-control-log [FOLDER]; the folder
// has to lie on the disk that is to be measured.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "citronlane/control/replica.h"
#include "citronlane/storage/posix_file_system.h"

namespace citronlane {
namespace {

namespace fs = std::filesystem;
using Clock = std::chrono::steady_clock;

constexpr size_t kCommandBytes = 120;
constexpr size_t kCommitsMeasured = 300;
constexpr std::chrono::milliseconds kLoadTime(1500);
constexpr std::chrono::seconds kDeadline(30);

double MillisecondsSince(Clock::time_point begin) {
  return std::chrono::duration<double, std::milli>(Clock::now() - begin)
      .count();
}

bool WaitUntil(const std::function<bool()>& holds) {
  const auto deadline = Clock::now() + kDeadline;
  while (!holds()) {
    if (Clock::now() > deadline) {
      std::fprintf(stderr, "bench: gave up waiting\n");
      std::exit(1);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

std::string FreeAddress() {
  const int handle = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  if (::bind(handle, reinterpret_cast<sockaddr*>(&address), size) != 0) {
    std::perror("bench: bind");
    std::exit(1);
  }
  ::getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(handle);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

/// Voters in one process, each with its own folder.
class Cluster {
 public:
  Cluster(const fs::path& root, size_t voters) : root_(root) {
    fs::remove_all(root_);
    for (uint64_t id = 1; id <= voters; ++id) {
      addresses_[id] = FreeAddress();
    }
    replicas_.resize(voters + 1);
    for (uint64_t id = 1; id <= voters; ++id) {
      Start(id);
    }
  }
  ~Cluster() {
    replicas_.clear();
    fs::remove_all(root_);
  }

  void Start(uint64_t id) {
    ReplicaOptions options;
    options.raft_.id_ = id;
    options.listen_ = addresses_[id];
    options.data_dir_ = (root_ / std::to_string(id)).string();
    options.initial_voters_ = addresses_;
    broken_[id] = false;
    options.files_ = PosixFileSystem();
    options.files_.sync_ = [&broken = broken_[id], sync = options.files_.sync_](
                               int handle, Error* error) {
      return !broken && sync(handle, error);
    };
    ReplicaHooks hooks;
    hooks.apply_ = [](uint64_t, std::string_view) { return std::string(); };
    hooks.take_snapshot_ = [] { return std::string(); };
    replicas_[id] = std::make_unique<Replica>(options, hooks);
    Error error;
    if (!replicas_[id]->Start(&error)) {
      std::fprintf(stderr, "bench: %s\n", error.message_.c_str());
      std::exit(1);
    }
  }
  void Stop(uint64_t id) { replicas_[id].reset(); }
  /// Makes the next sync of the node fail, which stops the node.
  void BreakDisk(uint64_t id) { broken_[id] = true; }

  Replica& Leader() {
    Replica* leader = nullptr;
    WaitUntil([&] {
      for (const auto& replica : replicas_) {
        if (replica && replica->status().leader_lease_) {
          leader = replica.get();
        }
      }
      return leader != nullptr;
    });
    return *leader;
  }

 private:
  const fs::path root_;
  std::map<uint64_t, std::string> addresses_;
  std::map<uint64_t, std::atomic<bool>> broken_;
  std::vector<std::unique_ptr<Replica>> replicas_;
};

/// Proposes a command and waits; returns whether it was committed.
bool Commit(Replica* replica) {
  std::mutex mutex;
  std::condition_variable answered;
  std::optional<bool> done;
  replica->Propose(std::string(kCommandBytes, 'x'),
                   [&](const std::optional<std::string>& result, const Error&) {
                     const std::lock_guard<std::mutex> lock(mutex);
                     done = result.has_value();
                     answered.notify_one();
                   });
  std::unique_lock<std::mutex> lock(mutex);
  answered.wait(lock, [&] { return done.has_value(); });
  return *done;
}

double Quantile(std::vector<double> values, double q) {
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(q *
                                    static_cast<double>(values.size() - 1))];
}

void PrintCommitLatency(const fs::path& root, size_t voters) {
  Cluster cluster(root, voters);
  std::vector<double> times;
  while (times.size() < kCommitsMeasured) {
    const auto begin = Clock::now();
    if (Commit(&cluster.Leader())) {
      times.push_back(MillisecondsSince(begin));
    }
  }
  std::printf(
      "  {\"measure\": \"commit\", \"voters\": %zu, \"p50_ms\": %.2f, "
      "\"p99_ms\": %.2f},\n",
      voters, Quantile(times, 0.5), Quantile(times, 0.99));
}

/// Keeps a fixed number of commands in flight for kLoadTime.
class LoadGenerator {
 public:
  LoadGenerator(Replica* replica, size_t in_flight)
      : replica_(*replica), in_flight_(in_flight) {}

  /// Returns the number of committed commands per second.
  double Run() {
    const auto begin = Clock::now();
    for (size_t i = 0; i < in_flight_; ++i) {
      Next();
    }
    std::this_thread::sleep_for(kLoadTime);
    std::unique_lock<std::mutex> lock(mutex_);
    stopping_ = true;
    idle_.wait(lock, [this] { return out_ == 0; });
    return static_cast<double>(done_) * 1000 / MillisecondsSince(begin);
  }

 private:
  void Next() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ++out_;
    }
    replica_.Propose(
        std::string(kCommandBytes, 'x'),
        [this](const std::optional<std::string>& result, const Error&) {
          bool next = false;
          {
            const std::lock_guard<std::mutex> lock(mutex_);
            --out_;
            done_ += result ? 1 : 0;
            next = !stopping_ && result;
            idle_.notify_one();
          }
          if (next) {
            Next();
          }
        });
  }

  Replica& replica_;
  const size_t in_flight_;
  std::mutex mutex_;
  std::condition_variable idle_;
  bool stopping_ = false;
  size_t out_ = 0;
  size_t done_ = 0;
};

void PrintThroughput(const fs::path& root, size_t in_flight) {
  Cluster cluster(root, 3);
  Commit(&cluster.Leader());
  Replica& leader = cluster.Leader();
  const uint64_t syncs = leader.status().sync_count_;
  const double rate = LoadGenerator(&leader, in_flight).Run();
  std::printf(
      "  {\"measure\": \"claims\", \"voters\": 3, \"in_flight\": %zu, "
      "\"per_second\": %.0f, \"leader_syncs\": %llu},\n",
      in_flight, rate,
      static_cast<unsigned long long>(leader.status().sync_count_ - syncs));
}

/// Baseline: one command after the other, each with a sync of its own.
void PrintPlainThroughput(const fs::path& root) {
  Cluster cluster(root, 3);
  Commit(&cluster.Leader());
  size_t done = 0;
  const auto begin = Clock::now();
  while (Clock::now() - begin < kLoadTime) {
    done += Commit(&cluster.Leader()) ? 1 : 0;
  }
  std::printf(
      "  {\"measure\": \"claims, a sync each, no batching\", \"voters\": 3, "
      "\"per_second\": %.0f},\n",
      static_cast<double>(done) * 1000 / MillisecondsSince(begin));
}

/// Processor time of idle voters.
void PrintIdle(const fs::path& root) {
  constexpr size_t kVoters = 3;
  Cluster cluster(root, kVoters);
  Commit(&cluster.Leader());
  const std::clock_t begin = std::clock();
  const auto wall = Clock::now();
  std::this_thread::sleep_for(kLoadTime);
  const double spent =
      static_cast<double>(std::clock() - begin) * 1000 / CLOCKS_PER_SEC;
  std::printf(
      "  {\"measure\": \"idle\", \"voters\": %zu, "
      "\"core_percent_per_voter\": %.2f},\n",
      kVoters, 100 * spent / MillisecondsSince(wall) / kVoters);
}

void PrintSync(const fs::path& root) {
  fs::create_directories(root);
  const FileSystem files = PosixFileSystem();
  Error error;
  const auto handle = files.create_((root / "sync").string(), &error);
  std::vector<double> times;
  for (size_t i = 0; handle && i < kCommitsMeasured; ++i) {
    files.write_(*handle, std::string(kCommandBytes, 'x'), &error);
    const auto begin = Clock::now();
    files.sync_(*handle, &error);
    times.push_back(MillisecondsSince(begin));
  }
  std::printf(
      "  {\"measure\": \"bare sync\", \"p50_ms\": %.3f, \"p99_ms\": %.3f},\n",
      Quantile(times, 0.5), Quantile(times, 0.99));
  fs::remove_all(root);
}

void PrintRestart(const fs::path& root) {
  constexpr int kEntries = 1000;
  Cluster cluster(root, 1);
  for (int i = 0; i < kEntries; ++i) {
    Commit(&cluster.Leader());
  }
  cluster.Stop(1);
  const auto begin = Clock::now();
  cluster.Start(1);
  const double read = MillisecondsSince(begin);
  Commit(&cluster.Leader());
  std::printf(
      "  {\"measure\": \"restart after %d entries\", \"disk_read_ms\": %.1f, "
      "\"first_commit_ms\": %.0f},\n",
      kEntries, read, MillisecondsSince(begin));
}

void PrintFailover(const fs::path& root, bool hands_over) {
  constexpr int kRuns = 5;
  Cluster cluster(root, 3);
  std::vector<double> times;
  for (int i = 0; i < kRuns; ++i) {
    Commit(&cluster.Leader());
    const uint64_t leader = cluster.Leader().status().id_;
    const auto begin = Clock::now();
    if (hands_over) {
      cluster.Stop(leader);
    } else {
      cluster.BreakDisk(leader);
    }
    while (!Commit(&cluster.Leader())) {
    }
    times.push_back(MillisecondsSince(begin));
    cluster.Stop(leader);
    cluster.Start(leader);
  }
  std::printf(
      "  {\"measure\": \"%s to next commit\", \"median_ms\": %.0f, "
      "\"max_ms\": %.0f}%s\n",
      hands_over ? "leader stopped" : "leader lost", Quantile(times, 0.5),
      Quantile(times, 1), hands_over ? "," : "");
}

int Run(const fs::path& folder) {
  const fs::path root =
      folder / ("citronlane-bench-" + std::to_string(::getpid()));
  std::printf("[\n");
  PrintSync(root);
  PrintCommitLatency(root, 3);
  PrintCommitLatency(root, 5);
  PrintPlainThroughput(root);
  for (const size_t in_flight : {1, 64, 512}) {
    PrintThroughput(root, in_flight);
  }
  PrintIdle(root);
  PrintRestart(root);
  PrintFailover(root, true);
  PrintFailover(root, false);
  std::printf("]\n");
  return 0;
}

}  // namespace
}  // namespace citronlane

int main(int argc, char** argv) {
  return citronlane::Run(argc > 1 ? argv[1] : "/tmp");
}
