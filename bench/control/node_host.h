#ifndef BENCH_CONTROL_NODE_HOST_H_
#define BENCH_CONTROL_NODE_HOST_H_

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>

#include "citronlane/control/control_options.h"

namespace citronlane::bench {

/// Runs control nodes as separate processes. They are forked by a helper
/// process without threads, since forking a process with threads is not safe.
/// Not thread safe.
class NodeHost {
 public:
  /// Starts the helper process. `options` are those of every node except for
  /// its id and folder. Precondition: this process has only one thread.
  NodeHost(const ControlOptions& options, const std::string& folder);
  /// Ends all nodes.
  ~NodeHost();
  NodeHost(const NodeHost&) = delete;
  NodeHost& operator=(const NodeHost&) = delete;

  void Start(uint64_t id);
  /// Sends a signal to the node; after SIGKILL, returns once it has ended.
  void Signal(uint64_t id, int signal);

  /// Returns the processor time of all nodes so far, in seconds.
  double CpuSeconds() const;
  /// Returns the resident memory of the largest node, in megabytes.
  double ResidentMb() const;

 private:
  int Ask(char what, uint64_t id, int argument);

  int channel_ = -1;
  pid_t host_ = 0;
  std::map<uint64_t, pid_t> nodes_;
};

}  // namespace citronlane::bench

#endif  // BENCH_CONTROL_NODE_HOST_H_
