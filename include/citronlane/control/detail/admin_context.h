#ifndef CITRONLANE_CONTROL_DETAIL_ADMIN_CONTEXT_H_
#define CITRONLANE_CONTROL_DETAIL_ADMIN_CONTEXT_H_

#include <cstdint>
#include <functional>
#include <string>

#include "citronlane/control/control_options.h"
#include "citronlane/control/detail/command_proposer.h"
#include "citronlane/control/detail/control_state.h"
#include "citronlane/control/replica.h"
#include "citronlane/control/replica_status.h"

namespace citronlane {

/// Dependencies of the administration API's calls. The pointers must outlive
/// the API; the hooks must be thread safe.
struct AdminContext {
  const ControlOptions* options_ = nullptr;
  ControlState* state_ = nullptr;
  CommandProposer* proposer_ = nullptr;
  std::function<ReplicaStatus()> status_;
  std::function<void(Replica::ReadDone)> read_;
  std::function<void(uint64_t, std::string, Replica::ProposeDone)> add_learner_;
  std::function<void(uint64_t, Replica::ProposeDone)> promote_;
  std::function<void(uint64_t, Replica::ProposeDone)> remove_;
  std::function<uint64_t()> fencing_number_;
  /// Returns milliseconds since 1970.
  std::function<uint64_t()> unix_ms_;
  /// Returns the text placed before the node's own metrics.
  std::function<std::string()> metrics_text_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_ADMIN_CONTEXT_H_
