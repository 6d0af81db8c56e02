#include <memory>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "citronlane/base/steady_now.h"
#include "citronlane/control/cluster_member.h"
#include "citronlane/control/replica_driver.h"
#include "citronlane/observe/event_log.h"

namespace citronlane {
namespace {

/// Half a heartbeat interval: replies to the next heartbeat may confirm the
/// read.
constexpr auto kReadRetryInterval = std::chrono::milliseconds(40);

}  // namespace

bool ClusterMember::Leads(TimePoint now) const {
  return leads_ && driver_ && driver_->failure().empty() &&
         driver_->node().HasLeaderLease(now);
}

void ClusterMember::RoleChanged(Role role, uint64_t term) {
  static constexpr const char* kNames[] = {"follower", "pre-candidate",
                                           "candidate", "leader", "learner"};
  log_->Write("member", "role changed",
              {{"role", kNames[static_cast<size_t>(role)]}, {"term", term}});
  if (role != Role::kLeader) {
    SetLeads(false);
    return;
  }
  keeper_.StartLeading(driver_->node().membership(), SteadyNow());
  // Posted, since the driver that calls this must not be re-entered.
  boost::asio::post(*io_, [this, term] { ConfirmLeadership(term); });
}

// A new leader may not have applied everything committed before its election,
// so it serves only once a linearizable read has succeeded.
void ClusterMember::ConfirmLeadership(uint64_t term) {
  if (!driver_ || !driver_->is_formed() || !driver_->failure().empty() ||
      driver_->node().role() != Role::kLeader ||
      driver_->node().term() != term || leads_) {
    return;
  }
  driver_->Read(SteadyNow(), [this, term](bool confirmed) {
    if (!driver_ || driver_->node().term() != term) {
      return;
    }
    if (confirmed) {
      SetLeads(true);
      return;
    }
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(*io_, kReadRetryInterval);
    timer->async_wait([this, term, timer](const boost::system::error_code&) {
      ConfirmLeadership(term);
    });
  });
}

void ClusterMember::SetLeads(bool leads) {
  if (leads != leads_) {
    leads_ = leads;
    hooks_.leads_changed_(leads);
  }
}

void ClusterMember::MaintainMembership(TimePoint now) {
  if (!Leads(now)) {
    return;
  }
  const RaftNode& node = driver_->node();
  const auto step = keeper_.Next(node.membership(), driver_->id(), now);
  if (!step) {
    return;
  }
  Error refused;
  if (driver_->Change(now, *step, &refused)) {
    static constexpr const char* kNames[] = {"add learner", "make voter",
                                             "remove"};
    log_->Write("member", "membership change",
                {{"change", kNames[static_cast<size_t>(step->kind_)]},
                 {"id", step->id_},
                 {"reason", step->reason_}});
  }
}

}  // namespace citronlane
