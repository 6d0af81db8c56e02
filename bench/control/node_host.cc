#include "control/node_host.h"

#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "citronlane/control/control_run.h"

namespace citronlane::bench {
namespace {

struct Request {
  char what_ = 0;
  uint64_t id_ = 0;
  int argument_ = 0;
};

pid_t ForkNode(ControlOptions options, const std::string& folder, uint64_t id) {
  const pid_t child = fork();
  if (child != 0) {
    return child;
  }
  options.replica_.raft_.id_ = id;
  options.replica_.data_dir_ = folder + "/" + std::to_string(id);
  Error error;
  if (!RunControl(options, ControlNodeHooks(), &error)) {
    std::fprintf(stderr, "bench: node %lu: %s\n",
                 static_cast<unsigned long>(id), error.message_.c_str());
  }
  _exit(0);
}

// Serves requests until the other end closes the channel, then ends the nodes.
void Serve(int channel,
           const ControlOptions& options,
           const std::string& folder) {
  std::map<uint64_t, pid_t> nodes;
  Request request;
  while (read(channel, &request, sizeof(request)) == sizeof(request)) {
    int answer = 0;
    if (request.what_ == 's') {
      nodes[request.id_] = ForkNode(options, folder, request.id_);
      answer = nodes[request.id_];
    } else {
      kill(nodes[request.id_], request.argument_);
      if (request.argument_ == SIGKILL) {
        waitpid(nodes[request.id_], nullptr, 0);
        nodes.erase(request.id_);
      }
    }
    if (write(channel, &answer, sizeof(answer)) != sizeof(answer)) {
      break;
    }
  }
  for (const auto& node : nodes) {
    kill(node.second, SIGKILL);
    waitpid(node.second, nullptr, 0);
  }
}

std::string ReadAll(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

NodeHost::NodeHost(const ControlOptions& options, const std::string& folder) {
  int ends[2];
  if (socketpair(AF_UNIX, SOCK_STREAM, 0, ends) != 0) {
    std::perror("bench: socketpair");
    std::exit(1);
  }
  host_ = fork();
  if (host_ == 0) {
    close(ends[0]);
    Serve(ends[1], options, folder);
    _exit(0);
  }
  close(ends[1]);
  channel_ = ends[0];
}

NodeHost::~NodeHost() {
  close(channel_);
  waitpid(host_, nullptr, 0);
}

void NodeHost::Start(uint64_t id) {
  nodes_[id] = Ask('s', id, 0);
}

void NodeHost::Signal(uint64_t id, int signal) {
  Ask('k', id, signal);
  if (signal == SIGKILL) {
    nodes_.erase(id);
  }
}

double NodeHost::CpuSeconds() const {
  constexpr int kUserTimeField = 12;
  double ticks = 0;
  for (const auto& node : nodes_) {
    const std::string stat =
        ReadAll("/proc/" + std::to_string(node.second) + "/stat");
    std::istringstream fields(stat.substr(stat.rfind(')') + 1));
    std::string field;
    for (int i = 1; i < kUserTimeField; ++i) {
      fields >> field;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    ticks += user + system;
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double NodeHost::ResidentMb() const {
  constexpr double kKbPerMb = 1024;
  double largest = 0;
  for (const auto& node : nodes_) {
    std::istringstream status(
        ReadAll("/proc/" + std::to_string(node.second) + "/status"));
    for (std::string word; status >> word;) {
      double kilobytes = 0;
      if (word == "VmRSS:" && status >> kilobytes) {
        largest = std::max(largest, kilobytes / kKbPerMb);
      }
    }
  }
  return largest;
}

int NodeHost::Ask(char what, uint64_t id, int argument) {
  const Request request{what, id, argument};
  int answer = 0;
  if (write(channel_, &request, sizeof(request)) != sizeof(request) ||
      read(channel_, &answer, sizeof(answer)) != sizeof(answer)) {
    std::fprintf(stderr, "bench: the host of the nodes is gone\n");
    std::exit(1);
  }
  return answer;
}

}  // namespace citronlane::bench
