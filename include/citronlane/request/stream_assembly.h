#ifndef CITRONLANE_REQUEST_STREAM_ASSEMBLY_H_
#define CITRONLANE_REQUEST_STREAM_ASSEMBLY_H_

#include <cstdint>
#include <string>

#include "citronlane/request/token.h"

namespace citronlane {

/// Puts an answer together by token offset: no gap, no repeat. Not thread
/// safe.
class StreamAssembly {
 public:
  enum class Taken { kTaken, kDuplicate, kGap };

  /// Takes the token when it is the next one; else says why not and changes
  /// nothing.
  Taken Accept(const Token& token);

  uint64_t next_offset() const { return next_offset_; }
  const std::string& text() const { return text_; }

 private:
  uint64_t next_offset_ = 0;
  std::string text_;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_STREAM_ASSEMBLY_H_
