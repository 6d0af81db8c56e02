#ifndef CITRONLANE_JSON_FAULT_H_
#define CITRONLANE_JSON_FAULT_H_

#include <string>

namespace citronlane {

/// One thing wrong with a document.
struct Fault {
  /// Path of the key from the root, e.g. "classes.chat.attainment".
  std::string path_;
  /// Line in the document, counted from 1; 0 when there is none.
  int line_ = 0;
  /// What is wrong and what is allowed.
  std::string message_;
};

}  // namespace citronlane

#endif  // CITRONLANE_JSON_FAULT_H_
