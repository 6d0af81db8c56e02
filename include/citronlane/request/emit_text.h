#ifndef CITRONLANE_REQUEST_EMIT_TEXT_H_
#define CITRONLANE_REQUEST_EMIT_TEXT_H_

#include <cstdint>
#include <string>

namespace citronlane {

/// Command: send the next token of the response to the caller.
struct EmitText {
  /// Number of the token in the response, from 0.
  uint64_t offset_ = 0;
  std::string text_;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_EMIT_TEXT_H_
