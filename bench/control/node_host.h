#ifndef BENCH_CONTROL_NODE_HOST_H_
#define BENCH_CONTROL_NODE_HOST_H_

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>

#include "citronlane/control/control_options.h"

namespace citronlane::bench {

/// Runs control nodes as processes of their own. It is a process without
/// threads that forks them, made before this one starts any. Not thread safe.
class NodeHost {
 public:
  /// Precondition: this process has one thread. `options` is that of every
  /// node, but for its id and folder.
  NodeHost(const ControlOptions& options, const std::string& folder);
  /// Ends every node.
  ~NodeHost();
  NodeHost(const NodeHost&) = delete;
  NodeHost& operator=(const NodeHost&) = delete;

  void Start(uint64_t id);
  /// Sends a signal; after SIGKILL the node is gone.
  void Signal(uint64_t id, int signal);

  /// Processor time of all nodes so far, in seconds.
  double CpuSeconds() const;
  /// Resident memory of the largest node, in megabytes.
  double ResidentMb() const;

 private:
  int Ask(char what, uint64_t id, int argument);

  int channel_ = -1;
  pid_t host_ = 0;
  std::map<uint64_t, pid_t> nodes_;
};

}  // namespace citronlane::bench

#endif  // BENCH_CONTROL_NODE_HOST_H_
