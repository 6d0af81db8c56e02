#include "citronlane/control/detail/pending_calls.h"

#include <optional>
#include <utility>

namespace citronlane {

void PendingCalls::AddProposal(uint64_t index,
                               uint64_t term,
                               Replica::ProposeDone done) {
  proposals_[index] = Proposal{term, std::move(done)};
}

uint64_t PendingCalls::AddRead(Replica::ReadDone done) {
  reads_[++last_context_] = std::move(done);
  return last_context_;
}

void PendingCalls::Applied(const Entry& entry, std::string result) {
  const auto it = proposals_.find(entry.index_);
  if (it == proposals_.end()) {
    return;
  }
  const Proposal proposal = std::move(it->second);
  proposals_.erase(it);
  if (proposal.term_ == entry.term_) {
    proposal.done_(std::move(result), Error{});
  } else {
    proposal.done_(std::nullopt,
                   Error{"an entry of another leader replaced the command"});
  }
}

void PendingCalls::FinishRead(uint64_t context, bool confirmed) {
  const auto it = reads_.find(context);
  if (it == reads_.end()) {
    return;
  }
  const Replica::ReadDone done = std::move(it->second);
  reads_.erase(it);
  done(confirmed);
}

void PendingCalls::FailAll(const std::string& reason) {
  const auto proposals = std::move(proposals_);
  const auto reads = std::move(reads_);
  proposals_.clear();
  reads_.clear();
  for (const auto& [index, proposal] : proposals) {
    proposal.done_(std::nullopt, Error{reason});
  }
  for (const auto& [context, done] : reads) {
    done(false);
  }
}

}  // namespace citronlane
