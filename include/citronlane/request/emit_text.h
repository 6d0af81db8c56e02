#ifndef CITRONLANE_REQUEST_EMIT_TEXT_H_
#define CITRONLANE_REQUEST_EMIT_TEXT_H_

#include <cstdint>
#include <string>

namespace citronlane {

/// Command: the next token of the answer for the caller.
struct EmitText {
  uint64_t offset_ = 0;
  std::string text_;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_EMIT_TEXT_H_
