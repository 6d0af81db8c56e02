#ifndef CITRONLANE_CONTROL_DETAIL_PENDING_CALLS_H_
#define CITRONLANE_CONTROL_DETAIL_PENDING_CALLS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "citronlane/consensus/entry.h"
#include "citronlane/control/replica.h"

namespace citronlane {

/// Proposals and reads of this node that wait for the log. Each is answered
/// once. Not thread safe.
class PendingCalls {
 public:
  /// `done` waits for the entry at (`index`, `term`).
  void AddProposal(uint64_t index, uint64_t term, Replica::ProposeDone done);
  /// Returns the context of the new read.
  uint64_t AddRead(Replica::ReadDone done);

  /// `entry` was applied with this result.
  void Applied(const Entry& entry, std::string result);
  /// The read was confirmed, or refused.
  void FinishRead(uint64_t context, bool confirmed);
  /// Answers everything: the outcome is not known.
  void FailAll(const std::string& reason);

 private:
  struct Proposal {
    uint64_t term_ = 0;
    Replica::ProposeDone done_;
  };

  std::map<uint64_t, Proposal> proposals_;
  std::unordered_map<uint64_t, Replica::ReadDone> reads_;
  uint64_t last_context_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_PENDING_CALLS_H_
