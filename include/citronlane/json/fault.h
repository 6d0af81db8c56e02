#ifndef CITRONLANE_JSON_FAULT_H_
#define CITRONLANE_JSON_FAULT_H_

#include <string>
#include <vector>

#include "absl/types/span.h"

namespace citronlane {

/// A validation error of a document.
struct Fault {
  /// Path of the key from the root, e.g. "classes.chat.attainment".
  std::string path_;
  /// Line in the document, counted from 1; 0 when there is none.
  int line_ = 0;
  /// Describes the error and the allowed values.
  std::string message_;
};

/// Sorts faults into document order and returns them as lines
/// "<path>: line <n>: <message>". Thread safe.
std::vector<std::string> FormatFaults(absl::Span<const Fault> faults);

}  // namespace citronlane

#endif  // CITRONLANE_JSON_FAULT_H_
