#ifndef CITRONLANE_STATE_REFUSAL_JOURNAL_H_
#define CITRONLANE_STATE_REFUSAL_JOURNAL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "state.pb.h"

namespace citronlane {

/// The newest refusals by id, one record each however often it is sent. What
/// is dropped is counted. Pure. Not thread safe.
class RefusalJournal {
 public:
  /// Takes a batch and keeps at most its `max_refusals` records in all.
  void Add(const wire::ReportCommand& report);

  /// Returns the record, or null when it is not here.
  const wire::RefusalRecord* Find(const std::string& id) const;

  size_t size() const { return order_.size(); }
  uint64_t dropped_by_gateways() const { return dropped_by_gateways_; }
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
