#include <memory>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "citronlane/base/steady_now.h"
#include "citronlane/control/cluster_member.h"
#include "citronlane/control/replica_driver.h"
#include "citronlane/observe/event_log.h"

namespace citronlane {
namespace {

/// Half a heartbeat: the answers to the next one may confirm the read.
constexpr auto kReadAgain = std::chrono::milliseconds(40);

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
  // Not from within the driver, which is at work.
  boost::asio::post(*io_, [this, term] { ConfirmLead(term); });
}

// A new leader may lag behind what was committed before its election: it serves
// once a quorum read has gone through.
void ClusterMember::ConfirmLead(uint64_t term) {
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
        std::make_shared<boost::asio::steady_timer>(*io_, kReadAgain);
    timer->async_wait([this, term, timer](const boost::system::error_code&) {
      ConfirmLead(term);
    });
  });
}

void ClusterMember::SetLeads(bool leads) {
  if (leads != leads_) {
    leads_ = leads;
    hooks_.leads_changed_(leads);
  }
}

void ClusterMember::TickLeading(TimePoint now) {
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
