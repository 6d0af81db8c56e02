#include "citronlane/fleet/config_lease.h"

#include <algorithm>
#include <functional>
#include <set>

namespace citronlane {
namespace {

/// Replies kept for one node; versions may follow faster than they are applied.
constexpr size_t kMaxVotesPerNode = 16;

Duration Shorten(Duration length) {
  return std::chrono::duration_cast<Duration>(
      length * (1.0 - ConfigLease::kClockRateError));
}

}  // namespace

ConfigLease::ConfigLease(Duration length) : length_(Shorten(length)) {}

bool ConfigLease::Accept(uint64_t version) {
  if (version <= version_) {
    return false;
  }
  version_ = version;
  Renew();
  return true;
}

void ConfigLease::OnVote(const LeaseVote& vote) {
  std::vector<LeaseVote>& votes = votes_[vote.node_];
  if (!votes.empty() && votes.back().sent_ >= vote.sent_) {
    return;
  }
  // A later reply makes earlier ones with the same or a newer version obsolete.
  votes.erase(std::remove_if(votes.begin(), votes.end(),
                             [&vote](const LeaseVote& old) {
                               return old.newest_version_ >=
                                      vote.newest_version_;
                             }),
              votes.end());
  votes.push_back(vote);
  if (votes.size() > kMaxVotesPerNode) {
    votes.erase(votes.begin());
  }
  Renew();
}

void ConfigLease::Renew() {
  if (version_ == 0) {
    return;
  }
  std::set<std::vector<uint64_t>> memberships;
  for (auto& [node, votes] : votes_) {
    for (const LeaseVote& vote : votes) {
      memberships.insert(vote.voters_);
    }
  }
  for (const std::vector<uint64_t>& voters : memberships) {
    const TimePoint sent = MajoritySent(voters);
    if (sent != TimePoint{}) {
      valid_until_ = std::max(valid_until_, sent + length_);
    }
  }
}

TimePoint ConfigLease::MajoritySent(const std::vector<uint64_t>& voters) const {
  std::vector<TimePoint> sent;
  for (const uint64_t voter : voters) {
    const auto found = votes_.find(voter);
    if (found == votes_.end()) {
      continue;
    }
    const auto& votes = found->second;
    const auto counts =
        std::find_if(votes.rbegin(), votes.rend(), [&](const LeaseVote& vote) {
          return vote.newest_version_ <= version_ && vote.voters_ == voters;
        });
    if (counts != votes.rend()) {
      sent.push_back(counts->sent_);
    }
  }
  const size_t majority = voters.size() / 2 + 1;
  if (sent.size() < majority) {
    return TimePoint{};
  }
  std::sort(sent.begin(), sent.end(), std::greater<>());
  return sent[majority - 1];
}

}  // namespace citronlane
