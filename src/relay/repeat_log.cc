#include "citronlane/relay/repeat_log.h"

#include <cmath>
#include <cstdint>

#include "citronlane/observe/event_log.h"
#include "citronlane/observe/metric_names.h"
#include "citronlane/observe/metrics.h"

namespace citronlane {

RepeatLog::RepeatLog(EventLog* log, Metrics* metrics)
    : log_(log), metrics_(metrics) {}

void RepeatLog::Note(const std::string& service,
                     std::string_view kind,
                     RepeatBudget* budget,
                     size_t nodes,
                     TimePoint now) {
  RepeatBudget::Totals& noted = noted_[{service, std::string(kind)}];
  const RepeatBudget::Totals totals = budget->totals();
  const uint64_t repeats = totals.repeats_ - noted.repeats_;
  const uint64_t denied = totals.denied_ - noted.denied_;
  const auto count = [&](const Metric& metric, uint64_t number) {
    if (number > 0) {
      metrics_->Count(metric, {service, kind}, static_cast<double>(number));
    }
  };
  count(kFirstSendsTotal, totals.first_sends_ - noted.first_sends_);
  count(kRepeatsTotal, repeats);
  count(kRepeatsDeniedTotal, denied);
  const double bound = budget->Bound(now, nodes);
  metrics_->Set(kRepeatsInWindow, {service, kind},
                static_cast<double>(budget->repeats(now)));
  metrics_->Set(kRepeatBound, {service, kind}, bound);
  noted = totals;
  if (repeats == 0 && denied == 0) {
    return;
  }
  log_->Write("relay", "repeats",
              {{"service", service},
               {"kind", kind},
               {"sent", repeats},
               {"denied", denied},
               {"in_window", static_cast<uint64_t>(budget->repeats(now))},
               {"bound", static_cast<uint64_t>(std::floor(bound))},
               {"late", static_cast<uint64_t>(budget->late())},
               {"first_sends", static_cast<uint64_t>(budget->first_sends(now))},
               {"counted_ms", budget->CountedFor(now)},
               {"shared_by", static_cast<uint64_t>(nodes)}});
}

}  // namespace citronlane
