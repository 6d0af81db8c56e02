#ifndef CITRONLANE_RELAY_REPEAT_LOG_H_
#define CITRONLANE_RELAY_REPEAT_LOG_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "citronlane/base/time.h"
#include "citronlane/routing/repeat_budget.h"

namespace citronlane {

class EventLog;
class Metrics;

/// Logs and counts what one gateway sent to each service for the first time and
/// again, so that the sum over all gateways and its largest parts can be found.
/// Used on the event loop's thread.
class RepeatLog {
 public:
  /// Both must outlive the object.
  RepeatLog(EventLog* log, Metrics* metrics);

  /// Call about once a second for each budget. `kind` tells what the budget
  /// pays for; `nodes` is the number of those who share its allowance. Writes a
  /// line only if repeats were sent or denied since the last call.
  void Note(const std::string& service,
            std::string_view kind,
            RepeatBudget* budget,
            size_t nodes,
            TimePoint now);

 private:
  EventLog* const log_;
  Metrics* const metrics_;
  /// What was counted at the last call, by service and kind.
  std::map<std::pair<std::string, std::string>, RepeatBudget::Totals> noted_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_REPEAT_LOG_H_
