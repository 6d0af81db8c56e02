#ifndef CITRONLANE_STATE_REFUSAL_JOURNAL_H_
#define CITRONLANE_STATE_REFUSAL_JOURNAL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "state.pb.h"

namespace citronlane {

/// The newest refusals, one record per id however often it is sent. Dropped
/// records are counted. Deterministic and without I/O. Not thread safe.
class RefusalJournal {
 public:
  /// Adds the refusals of a report, then drops the oldest records beyond the
  /// report's `max_refusals`.
  void Add(const wire::ReportCommand& report);

  /// Returns the record, or null when there is none with this id.
  const wire::RefusalRecord* Find(const std::string& id) const;

  size_t size() const { return order_.size(); }
  /// Refusals that gateways dropped before they could be reported.
  uint64_t dropped_by_gateways() const { return dropped_by_gateways_; }
  /// Refusals that this journal dropped.
  uint64_t dropped_here() const { return dropped_here_; }

  void Save(wire::RefusalSnapshot* snapshot) const;
  void Load(const wire::RefusalSnapshot& snapshot);

 private:
  std::map<std::string, wire::RefusalRecord> records_;
  /// Ids, oldest first.
  std::deque<std::string> order_;
  uint64_t dropped_by_gateways_ = 0;
  uint64_t dropped_here_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_REFUSAL_JOURNAL_H_
