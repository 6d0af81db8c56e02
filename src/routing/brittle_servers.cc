#include "citronlane/routing/brittle_servers.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "citronlane/fleet/rendezvous.h"

namespace citronlane {
namespace {

/// One of so many slots is for calls beside the owner: those for which it did
/// not reply in time.
constexpr uint32_t kSlotsPerSlotBesideOwner = 8;
/// Fractions of the refusals that a server bears. The rest covers refusals of
/// calls by gateways that do not know yet that it is brittle.
constexpr double kOwnerRefusals = 0.6;
constexpr double kShareRefusals = 0.8;
constexpr double kBesideOwnerRefusals = 0.2;
/// More than the second for which the server counts: refusals arrive here
/// later, and not all equally late.
constexpr Duration kRefusalWindow = std::chrono::milliseconds(1200);
constexpr Duration kMaxRefusalWindow = std::chrono::seconds(10);
/// A refusal is known within this time. Calls sent by an owner within it may
/// all be refused.
constexpr Duration kNoticeTime = std::chrono::milliseconds(50);
/// Of the calls in flight when a server refused one, this fraction counts as
/// its room.
constexpr double kRoomAfterRefusal = 0.8;
/// The room learned grows by this fraction of the refusals that the server
/// bears in each second.
constexpr double kRoomGrowth = 0.25;
constexpr double kMinRoomGrowth = 0.2;

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

// Times are in order.
size_t CountAfter(TimePoint first, const std::deque<TimePoint>& times) {
  return static_cast<size_t>(
      times.end() - std::upper_bound(times.begin(), times.end(), first));
}

void DropUntil(TimePoint last, std::deque<TimePoint>* times) {
  while (!times->empty() && times->front() <= last) {
    times->pop_front();
  }
}

uint32_t SlotsBesideOwner(uint32_t slots) {
  return slots / kSlotsPerSlotBesideOwner;
}

}  // namespace

BrittleServers::BrittleServers(std::string gateway)
    : gateway_(std::move(gateway)), gateways_({gateway_}) {}

void BrittleServers::SetGateways(std::vector<std::string> gateways) {
  if (gateways.empty()) {
    return;
  }
  gateways.push_back(gateway_);
  std::sort(gateways.begin(), gateways.end());
  gateways.erase(std::unique(gateways.begin(), gateways.end()), gateways.end());
  if (gateways != gateways_) {
    gateways_ = std::move(gateways);
    Divide();
  }
}

void BrittleServers::SetServers(absl::Span<const BackendServer> servers) {
  Servers next;
  for (const BackendServer& listed : servers) {
    const auto known = servers_.find(listed.id_);
    Server server =
        known == servers_.end() ? Server() : std::move(known->second);
    server.service_ = listed.service_;
    server.slots_ = std::max(1U, listed.slots_);
    next.emplace(listed.id_, std::move(server));
  }
  servers_ = std::move(next);
  UpdateServices();
  Divide();
}

void BrittleServers::SetBrittle(std::string_view server,
                                std::optional<double> max_refusals) {
  const auto known = servers_.find(server);
  if (known != servers_.end() && known->second.max_refusals_ != max_refusals) {
    known->second.max_refusals_ = max_refusals;
    const auto before = brittle_services_;
    UpdateServices();
    if (brittle_services_ != before) {
      Divide();
    }
  }
}

void BrittleServers::UpdateServices() {
  brittle_services_.clear();
  for (const auto& [id, server] : servers_) {
    if (server.max_refusals_) {
      const auto [it, is_first] =
          brittle_services_.emplace(server.service_, *server.max_refusals_);
      it->second = std::min(it->second, *server.max_refusals_);
    }
  }
}

// Only brittle services need it, and it takes time in a large fleet.
void BrittleServers::Divide() {
  std::map<std::string_view, std::vector<Servers::value_type*>> by_service;
  for (auto& entry : servers_) {
    if (IsBrittle(entry.second.service_)) {
      by_service[entry.second.service_].push_back(&entry);
    }
  }
  without_place_.clear();
  for (const auto& [service, servers] : by_service) {
    DivideService(servers);
  }
}

// In the order of the servers' ids each server's slots go to the gateways that
// have fewest, so that all have some if there are enough.
void BrittleServers::DivideService(
    absl::Span<Servers::value_type* const> servers) {
  const size_t own = OwnIndex();
  std::vector<uint32_t> slots(gateways_.size());
  for (Servers::value_type* entry : servers) {
    auto& [id, server] = *entry;
    const uint32_t before = slots[own];
    AddSlots(id, server.slots_, &slots);
    server.share_ = slots[own] - before;
    server.callers_ = std::min<size_t>(gateways_.size(), server.slots_);
    server.share_beside_owner_ = PartOf(id, SlotsBesideOwner(server.slots_));
  }
  AddExtraCallers(servers, slots);
}

// Divides a server's slots. `slots`: those of each gateway so far.
void BrittleServers::AddSlots(std::string_view server,
                              uint32_t added,
                              std::vector<uint32_t>* slots) const {
  struct Candidate {
    size_t index_;
    uint32_t slots_;
    uint64_t weight_;
  };
  const auto count = static_cast<uint32_t>(gateways_.size());
  std::vector<Candidate> candidates;
  for (size_t i = 0; i < gateways_.size(); ++i) {
    candidates.push_back(
        {i, (*slots)[i], RendezvousWeight(gateways_[i], server)});
    (*slots)[i] += added / count;
  }
  const auto last = candidates.begin() + added % count;
  std::nth_element(candidates.begin(), last, candidates.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return std::make_pair(a.slots_, b.weight_) <
                            std::make_pair(b.slots_, a.weight_);
                   });
  for (auto chosen = candidates.begin(); chosen != last; ++chosen) {
    ++(*slots)[chosen->index_];
  }
}

// When there are fewer slots than gateways, some of those without one may call
// a server nevertheless: as many as it may refuse at the same time.
void BrittleServers::AddExtraCallers(
    absl::Span<Servers::value_type* const> servers,
    const std::vector<uint32_t>& slots) {
  const double max_refusals =
      brittle_services_.find(servers.front()->second.service_)->second;
  const double most = std::floor(kShareRefusals * max_refusals) *
                      static_cast<double>(servers.size());
  const std::string& service = servers.front()->second.service_;
  size_t extra = 0;
  for (size_t i = 0; i < slots.size(); ++i) {
    if (slots[i] != 0) {
      continue;
    }
    if (static_cast<double>(extra) >= most) {
      without_place_[service].insert(gateways_[i]);
      continue;
    }
    Server& server = servers[extra % servers.size()]->second;
    ++extra;
    ++server.callers_;
    server.share_ += i == OwnIndex() ? 1 : 0;
  }
}

std::set<std::string> BrittleServers::WithoutPlace(
    std::string_view service) const {
  const auto known = without_place_.find(service);
  return known == without_place_.end() ? std::set<std::string>()
                                       : known->second;
}

bool BrittleServers::LacksPlace(std::string_view service) const {
  const auto known = without_place_.find(service);
  return known != without_place_.end() && known->second.count(gateway_) != 0;
}

size_t BrittleServers::OwnIndex() const {
  return static_cast<size_t>(
      std::find(gateways_.begin(), gateways_.end(), gateway_) -
      gateways_.begin());
}

// This gateway's part of the server's places, which go to the gateways in turn
// in an order of the server's own.
uint32_t BrittleServers::PartOf(std::string_view server,
                                uint32_t places) const {
  const auto count = static_cast<uint32_t>(gateways_.size());
  const uint64_t own = RendezvousWeight(gateway_, server);
  const auto before = static_cast<uint32_t>(std::count_if(
      gateways_.begin(), gateways_.end(), [&](const std::string& gateway) {
        return RendezvousWeight(gateway, server) > own;
      }));
  return places / count + (before < places % count ? 1 : 0);
}

bool BrittleServers::MayCall(std::string_view server,
                             CallScope scope,
                             TimePoint now) const {
  const auto known = servers_.find(server);
  return known == servers_.end() || MayCall(known->second, scope, now);
}

bool BrittleServers::MayCall(const Server& server,
                             CallScope scope,
                             TimePoint now) const {
  const auto brittle = brittle_services_.find(server.service_);
  if (brittle == brittle_services_.end()) {
    return true;
  }
  const double max_refusals = brittle->second;
  const Allowance allowance = AllowanceOf(server, scope, max_refusals);
  const double refused =
      static_cast<double>(CountAfter(now - allowance.window_, server.refused_));
  const double unknown =
      scope == CallScope::kOwner
          ? static_cast<double>(CountAfter(now - kNoticeTime, server.sent_))
          : 0;
  return refused + unknown < allowance.refusals_ &&
         server.in_flight_ + 1 <= RoomOf(server, scope, max_refusals, now);
}

double BrittleServers::RoomOf(const Server& server,
                              CallScope scope,
                              double max_refusals,
                              TimePoint now) const {
  double room = 0;
  switch (scope) {
    case CallScope::kOwner:
      room = server.slots_ - SlotsBesideOwner(server.slots_);
      break;
    case CallScope::kShare:
      room = server.share_;
      break;
    case CallScope::kShareBesideOwner:
      room = server.share_beside_owner_;
      break;
  }
  if (!server.learned_room_) {
    return room;
  }
  const double growth = std::max(kMinRoomGrowth, kRoomGrowth * max_refusals) /
                        CallersOf(server, scope);
  const double learned =
      *server.learned_room_ + growth * Seconds(now - server.refused_at_);
  return std::min(room, learned);
}

// Number of gateways that may call the server.
double BrittleServers::CallersOf(const Server& server, CallScope scope) const {
  if (scope == CallScope::kOwner) {
    return 1;
  }
  const size_t callers =
      scope == CallScope::kShare
          ? server.callers_
          : std::min<size_t>(gateways_.size(), SlotsBesideOwner(server.slots_));
  return static_cast<double>(std::max<size_t>(1, callers));
}

BrittleServers::Allowance BrittleServers::AllowanceOf(
    const Server& server,
    CallScope scope,
    double max_refusals) const {
  const double fraction = scope == CallScope::kOwner   ? kOwnerRefusals
                          : scope == CallScope::kShare ? kShareRefusals
                                                       : kBesideOwnerRefusals;
  const double own = fraction * max_refusals / CallersOf(server, scope);
  if (own >= 1) {
    return {std::floor(own), kRefusalWindow};
  }
  const double most = Seconds(kMaxRefusalWindow);
  const double window =
      own > 0 ? std::min(most, Seconds(kRefusalWindow) / own) : most;
  return {1, std::chrono::duration_cast<Duration>(
                 std::chrono::duration<double>(window))};
}

std::vector<std::string> BrittleServers::Full(CallScope scope,
                                              TimePoint now) const {
  std::vector<std::string> full;
  if (brittle_services_.empty()) {
    return full;
  }
  for (const auto& [id, server] : servers_) {
    if (!MayCall(server, scope, now)) {
      full.push_back(id);
    }
  }
  return full;
}

void BrittleServers::OnCall(std::string_view server, TimePoint now) {
  const auto known = servers_.find(server);
  if (known != servers_.end()) {
    ++known->second.in_flight_;
    DropUntil(now - kNoticeTime, &known->second.sent_);
    known->second.sent_.push_back(now);
  }
}

void BrittleServers::OnEnd(std::string_view server,
                           bool is_refused,
                           TimePoint now) {
  const auto known = servers_.find(server);
  if (known == servers_.end()) {
    return;
  }
  Server& called = known->second;
  called.in_flight_ -= std::min(called.in_flight_, 1U);
  if (!is_refused) {
    return;
  }
  DropUntil(now - kMaxRefusalWindow, &called.refused_);
  called.refused_.push_back(now);
  called.learned_room_ =
      std::max(1.0, std::floor(called.in_flight_ * kRoomAfterRefusal));
  called.refused_at_ = now;
}

bool BrittleServers::IsBrittle(std::string_view service) const {
  return brittle_services_.find(service) != brittle_services_.end();
}

size_t BrittleServers::CountBrittle() const {
  return static_cast<size_t>(
      std::count_if(servers_.begin(), servers_.end(), [](const auto& entry) {
        return entry.second.max_refusals_.has_value();
      }));
}

}  // namespace citronlane
