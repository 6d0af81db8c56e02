#include "citronlane/json/fault.h"

#include <algorithm>

namespace citronlane {

std::vector<std::string> FormatFaults(absl::Span<const Fault> faults) {
  std::vector<Fault> sorted(faults.begin(), faults.end());
  std::stable_sort(
      sorted.begin(), sorted.end(),
      [](const Fault& a, const Fault& b) { return a.line_ < b.line_; });
  std::vector<std::string> lines;
  for (const Fault& fault : sorted) {
    std::string line = fault.path_.empty() ? "document" : fault.path_;
    if (fault.line_ > 0) {
      line += ": line " + std::to_string(fault.line_);
    }
    lines.push_back(line + ": " + fault.message_);
  }
  return lines;
}

}  // namespace citronlane
