#include "citronlane/state/spend_ledger.h"

#include <iterator>

namespace citronlane {
namespace {

constexpr uint64_t kHourMs = 3600ULL * 1000;
/// A gateway is leased this fraction (1 / kShareDivisor) of its fair share, so
/// that some of the limit is left for one that joins or spends faster.
constexpr uint64_t kShareDivisor = 2;

}  // namespace

std::vector<wire::SpendShare> SpendLedger::Report(
    uint64_t time_ms,
    const wire::ReportCommand& report) {
  const bool is_resend = IsResend(report);
  wire::ReportMark& mark = marks_[report.gateway().name()];
  if (!is_resend) {
    for (const wire::ClassSpend& spend : report.spend()) {
      Ledger& ledger = classes_[spend.class_name()];
      AdvanceTo(time_ms, &ledger);
      ledger.spent_ += spend.spent();
    }
    mark.set_gateway(report.gateway().name());
    mark.set_incarnation(report.gateway().incarnation());
    mark.set_sequence(report.sequence());
    mark.clear_shares();
    for (const wire::ClassLimit& limit : report.limits()) {
      *mark.add_shares() = Lease(time_ms, report, limit);
    }
  }
  return {mark.shares().begin(), mark.shares().end()};
}

bool SpendLedger::IsResend(const wire::ReportCommand& report) const {
  const auto found = marks_.find(report.gateway().name());
  return found != marks_.end() &&
         found->second.incarnation() == report.gateway().incarnation() &&
         report.sequence() <= found->second.sequence();
}

uint64_t SpendLedger::Spent(const std::string& class_name) const {
  const auto found = classes_.find(class_name);
  return found == classes_.end() ? 0 : found->second.spent_;
}

void SpendLedger::OnGatewayRemoved(const std::string& name) {
  marks_.erase(name);
}

void SpendLedger::Save(wire::SpendSnapshot* snapshot) const {
  for (const auto& [name, ledger] : classes_) {
    wire::ClassLedger* saved = snapshot->add_classes();
    saved->set_class_name(name);
    saved->set_hour(ledger.hour_);
    saved->set_spent(ledger.spent_);
    saved->set_spent_last_hour(ledger.spent_last_hour_);
    for (const auto& [owner, share] : ledger.shares_) {
      wire::ShareRecord* record = saved->add_shares();
      record->set_gateway(owner.first);
      record->set_incarnation(owner.second);
      record->set_amount(share.amount_);
      record->set_rate(share.rate_);
      record->set_expires_ms(share.expires_ms_);
    }
  }
  for (const auto& mark : marks_) {
    *snapshot->add_marks() = mark.second;
  }
}

void SpendLedger::Load(const wire::SpendSnapshot& snapshot) {
  classes_.clear();
  marks_.clear();
  for (const wire::ClassLedger& saved : snapshot.classes()) {
    Ledger& ledger = classes_[saved.class_name()];
    ledger.hour_ = saved.hour();
    ledger.spent_ = saved.spent();
    ledger.spent_last_hour_ = saved.spent_last_hour();
    for (const wire::ShareRecord& record : saved.shares()) {
      ledger.shares_[{record.gateway(), record.incarnation()}] = {
          record.amount(), record.rate(), record.expires_ms()};
    }
  }
  for (const wire::ReportMark& mark : snapshot.marks()) {
    marks_[mark.gateway()] = mark;
  }
}

void SpendLedger::AdvanceTo(uint64_t time_ms, Ledger* ledger) {
  const uint64_t hour = time_ms / kHourMs;
  if (hour != ledger->hour_) {
    ledger->spent_last_hour_ = hour == ledger->hour_ + 1 ? ledger->spent_ : 0;
    ledger->spent_ = 0;
    ledger->hour_ = hour;
  }
  for (auto share = ledger->shares_.begin(); share != ledger->shares_.end();) {
    share = share->second.expires_ms_ <= time_ms ? ledger->shares_.erase(share)
                                                 : std::next(share);
  }
}

uint64_t SpendLedger::Available(const Ledger& ledger,
                                const Owner& owner,
                                uint64_t limit) {
  uint64_t taken = ledger.spent_;
  for (const auto& [other, share] : ledger.shares_) {
    if (other != owner) {
      taken += share.amount_;
    }
  }
  return limit > taken ? limit - taken : 0;
}

wire::SpendShare SpendLedger::Lease(uint64_t time_ms,
                                    const wire::ReportCommand& report,
                                    const wire::ClassLimit& limit) {
  Ledger& ledger = classes_[limit.class_name()];
  AdvanceTo(time_ms, &ledger);
  const Owner owner(report.gateway().name(), report.gateway().incarnation());
  uint64_t rate = 0;
  for (const wire::ClassSpend& spend : report.spend()) {
    rate = spend.class_name() == limit.class_name() ? spend.rate() : rate;
  }
  uint64_t all_rates = rate + 1;
  for (const auto& [other, share] : ledger.shares_) {
    all_rates += other == owner ? 0 : share.rate_ + 1;
  }
  const uint64_t available =
      Available(ledger, owner, limit.limit_per_hour()) / kShareDivisor;
  Share& share = ledger.shares_[owner];
  share.rate_ = rate;
  // Integer arithmetic, dividing first against overflow: the rounding of
  // floating point might differ between VMs.
  share.amount_ = available / all_rates * (rate + 1) +
                  available % all_rates * (rate + 1) / all_rates;
  share.expires_ms_ = time_ms + report.share_valid_ms();
  wire::SpendShare lease;
  lease.set_class_name(limit.class_name());
  lease.set_amount(static_cast<double>(share.amount_));
  lease.set_valid_ms(report.share_valid_ms());
  return lease;
}

}  // namespace citronlane
