#include "citronlane/routing/server_reach.h"

#include <algorithm>
#include <utility>

namespace citronlane {
namespace {

/// Servers probed in a round that follows a failed first probe.
constexpr size_t kProbesPerRound = 5;
/// Failed rounds after which the node is cut off, the first probe included.
constexpr size_t kRoundsToCutOff = 3;
/// Probes of a round that must succeed to end a cut. Some servers may be
/// reachable during it.
constexpr size_t kReachedToRejoin = 4;
/// Pause after a round that reached a server, and between rounds during a cut.
constexpr Duration kRoundInterval = std::chrono::milliseconds(500);

/// Longest time without a reply of any server after a call was sent. Servers
/// that compute for longer cost one probe.
constexpr Duration kMaxSilence = std::chrono::milliseconds(600);

}  // namespace

ServerReach::ServerReach(RandomHook random) : random_(std::move(random)) {}

void ServerReach::OnFailure() {
  if (!is_suspected_) {
    repliers_.clear();
    is_suspected_ = true;
  }
}

void ServerReach::OnCall(TimePoint now) {
  if (!unanswered_since_) {
    unanswered_since_ = now;
  }
}

void ServerReach::OnReply(const std::string& address) {
  unanswered_since_.reset();
  if (is_suspected_) {
    repliers_.insert(address);
  }
}

bool ServerReach::IsRoundDue(TimePoint now) const {
  return outstanding_ == 0 && (is_suspected_ || is_cut_off_ || IsSilent(now)) &&
         now >= next_round_;
}

std::vector<std::string> ServerReach::StartRound(
    absl::Span<const std::string> addresses) {
  // The occasion may be silence.
  OnFailure();
  std::vector<std::string> drawn(addresses.begin(), addresses.end());
  round_size_ = std::min(RoundSize(), drawn.size());
  for (size_t i = 0; i < round_size_; ++i) {
    std::swap(drawn[i], drawn[i + random_(drawn.size() - i)]);
  }
  drawn.resize(round_size_);
  outstanding_ = round_size_;
  reached_ = 0;
  return drawn;
}

bool ServerReach::OnProbed(const std::string& address,
                           ProbeResult result,
                           TimePoint now) {
  reached_ += IsReached(address, result) ? 1 : 0;
  --outstanding_;
  return outstanding_ == 0 && Conclude(now);
}

bool ServerReach::IsSilent(TimePoint now) const {
  return unanswered_since_ && now - *unanswered_since_ >= kMaxSilence;
}

size_t ServerReach::RoundSize() const {
  return is_cut_off_ || failed_rounds_ > 0 ? kProbesPerRound : 1;
}

bool ServerReach::IsReached(const std::string& address,
                            ProbeResult result) const {
  return result == ProbeResult::kReplied ||
         (result == ProbeResult::kOpen && repliers_.count(address) > 0);
}

bool ServerReach::Conclude(TimePoint now) {
  if (is_cut_off_) {
    is_cut_off_ = reached_ < std::min(kReachedToRejoin, round_size_);
    Settle(now);
    return !is_cut_off_;
  }
  if (reached_ > 0) {
    Settle(now);
    return false;
  }
  is_cut_off_ = ++failed_rounds_ >= kRoundsToCutOff;
  next_round_ = is_cut_off_ ? now + kRoundInterval : now;
  return is_cut_off_;
}

void ServerReach::Settle(TimePoint now) {
  next_round_ = now + kRoundInterval;
  is_suspected_ = false;
  unanswered_since_.reset();
  failed_rounds_ = 0;
}

}  // namespace citronlane
