#include "citronlane/state/refusal_journal.h"

namespace citronlane {

void RefusalJournal::Add(const wire::ReportCommand& report) {
  dropped_by_gateways_ += report.refusals_dropped();
  for (const wire::RefusalRecord& record : report.refusals()) {
    if (records_.emplace(record.id(), record).second) {
      order_.push_back(record.id());
    }
  }
  while (order_.size() > report.max_refusals()) {
    records_.erase(order_.front());
    order_.pop_front();
    ++dropped_here_;
  }
}

const wire::RefusalRecord* RefusalJournal::Find(const std::string& id) const {
  const auto found = records_.find(id);
  return found == records_.end() ? nullptr : &found->second;
}

void RefusalJournal::Save(wire::RefusalSnapshot* snapshot) const {
  for (const std::string& id : order_) {
    *snapshot->add_records() = records_.at(id);
  }
  snapshot->set_dropped_by_gateways(dropped_by_gateways_);
  snapshot->set_dropped_here(dropped_here_);
}

void RefusalJournal::Load(const wire::RefusalSnapshot& snapshot) {
  records_.clear();
  order_.clear();
  for (const wire::RefusalRecord& record : snapshot.records()) {
    records_[record.id()] = record;
    order_.push_back(record.id());
  }
  dropped_by_gateways_ = snapshot.dropped_by_gateways();
  dropped_here_ = snapshot.dropped_here();
}

}  // namespace citronlane
