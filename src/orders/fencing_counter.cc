#include "citronlane/orders/fencing_counter.h"

namespace citronlane {

uint64_t FencingCounter::Take(uint64_t node, uint64_t term) {
  if (term < term_ || (term == term_ && node != node_)) {
    return 0;
  }
  if (term > term_) {
    ++number_;
    node_ = node;
    term_ = term;
  }
  return number_;
}

void FencingCounter::Save(wire::FencingSnapshot* snapshot) const {
  snapshot->set_number(number_);
  snapshot->set_node(node_);
  snapshot->set_term(term_);
}

void FencingCounter::Load(const wire::FencingSnapshot& snapshot) {
  number_ = snapshot.number();
  node_ = snapshot.node();
  term_ = snapshot.term();
}

}  // namespace citronlane
