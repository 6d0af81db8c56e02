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

/// Proposals and reads of this node that wait for the log. Each callback is
/// called once. Not thread safe.
class PendingCalls {
 public:
  /// Adds a proposal whose `done` waits for the entry at (`index`, `term`).
  void AddProposal(uint64_t index, uint64_t term, Replica::ProposeDone done);
  /// Adds a read and returns its context.
  uint64_t AddRead(Replica::ReadDone done);

  /// Completes the proposal at the entry's index, if any: with `result` when
  /// the entry is the proposed one, else as failed.
  void Applied(const Entry& entry, std::string result);
  /// Completes a read; unknown contexts are ignored.
  void FinishRead(uint64_t context, bool confirmed);
  /// Completes all proposals and reads as failed; whether a proposal will be
  /// committed is not known.
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
