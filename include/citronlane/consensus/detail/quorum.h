#ifndef CITRONLANE_CONSENSUS_DETAIL_QUORUM_H_
#define CITRONLANE_CONSENSUS_DETAIL_QUORUM_H_

#include <algorithm>
#include <cstddef>
#include <functional>
#include <vector>

namespace citronlane {

/// Number of nodes that make a majority of `voters`.
constexpr size_t QuorumSize(size_t voters) {
  return voters / 2 + 1;
}

/// Returns the highest value that a majority has reached. `values` holds one
/// value for each voter and is not empty.
template <typename Value>
Value QuorumValue(std::vector<Value> values) {
  const auto nth =
      values.begin() + static_cast<ptrdiff_t>(QuorumSize(values.size()) - 1);
  std::nth_element(values.begin(), nth, values.end(), std::greater<>());
  return *nth;
}

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_DETAIL_QUORUM_H_
