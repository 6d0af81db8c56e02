#include "citronlane/control/detail/crash_register.h"

#include <utility>

#include "citronlane/net/crash_codec.h"
#include "citronlane/net/fleet_codec.h"

namespace citronlane {
namespace {

/// Within this time all gateways have reported to a new leader. Until then they
/// keep the list of the previous one.
constexpr Duration kGatheringTime = std::chrono::seconds(3);
/// Reports of one crash differ by less, and no server crashes twice so fast.
constexpr Duration kMinIncarnationTime = std::chrono::milliseconds(800);

}  // namespace

CrashRegister::CrashRegister(std::function<void(std::string_view)> log)
    : log_("control", LineLog(std::move(log))), suspects_(&log_) {}

void CrashRegister::Take(const wire::fleet::CrashReports& reports,
                         uint64_t term,
                         TimePoint now) {
  const std::lock_guard lock(mutex_);
  SetTerm(term, now);
  wire::fleet::CrashReports named = reports;
  for (auto& crash : *named.mutable_crashes()) {
    crash.set_server(NameOf(crash, now));
  }
  suspects_.Take(named, now);
}

// Each gateway counts the incarnations that it has seen itself.
std::string CrashRegister::NameOf(const wire::fleet::ServerCrash& crash,
                                  TimePoint now) {
  const std::string server =
      crash.server().substr(0, crash.server().rfind('#'));
  const TimePoint at = now - FromMilliseconds(crash.age_ms());
  Incarnation& last = incarnations_[server];
  if (std::chrono::abs(at - last.crashed_) >= kMinIncarnationTime) {
    ++last.number_;
    last.crashed_ = at;
  }
  return server + "#" + std::to_string(last.number_);
}

void CrashRegister::AddTo(uint64_t term,
                          TimePoint now,
                          wire::SuspectList* list) {
  const std::lock_guard lock(mutex_);
  SetTerm(term, now);
  list->set_term(term);
  if (now - leading_since_ >= kGatheringTime) {
    EncodeSuspects(suspects_.Listed(), now, list->mutable_requests());
  }
}

void CrashRegister::SetTerm(uint64_t term, TimePoint now) {
  if (term != term_) {
    term_ = term;
    leading_since_ = now;
    suspects_.StartLeading();
    incarnations_.clear();
  }
}

}  // namespace citronlane
