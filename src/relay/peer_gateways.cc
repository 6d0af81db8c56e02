#include "citronlane/relay/peer_gateways.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "citronlane/relay/fleet_view.h"

namespace citronlane {
namespace {

/// The list of gateways is late by less.
constexpr Duration kExclusionTime = std::chrono::seconds(1);

}  // namespace

PeerGateways::PeerGateways(std::string own_endpoint,
                           const FleetView* view,
                           RandomHook random)
    : own_endpoint_(std::move(own_endpoint)),
      view_(view),
      random_(std::move(random)) {}

std::optional<std::string> PeerGateways::Choose(
    absl::Span<const std::string> tried,
    TimePoint now) const {
  std::vector<std::string> best;
  size_t fewest = 0;
  for (const FleetView::Gateway& gateway : view_->gateways()) {
    const std::string& address = gateway.relay_address_;
    const bool is_usable = !address.empty() && !gateway.stopping_ &&
                           !gateway.cut_off_ &&
                           gateway.endpoint_ != own_endpoint_;
    if (!is_usable ||
        std::find(tried.begin(), tried.end(), address) != tried.end()) {
      continue;
    }
    const auto known = peers_.find(address);
    const Peer peer = known == peers_.end() ? Peer() : known->second;
    if (now < peer.excluded_until_) {
      continue;
    }
    if (best.empty() || peer.in_flight_ < fewest) {
      best.clear();
      fewest = peer.in_flight_;
    }
    if (peer.in_flight_ == fewest) {
      best.push_back(address);
    }
  }
  return best.empty() ? std::nullopt
                      : std::optional(best[random_(best.size())]);
}

void PeerGateways::OnStart(const std::string& address) {
  ++peers_[address].in_flight_;
}

void PeerGateways::OnEnd(const std::string& address,
                         bool was_taken,
                         TimePoint now) {
  Peer& peer = peers_[address];
  --peer.in_flight_;
  if (!was_taken) {
    peer.excluded_until_ = now + kExclusionTime;
  }
}

}  // namespace citronlane
