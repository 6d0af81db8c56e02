#ifndef CITRONLANE_REQUEST_STREAM_ASSEMBLY_H_
#define CITRONLANE_REQUEST_STREAM_ASSEMBLY_H_

#include <cstdint>
#include <string>

#include "citronlane/request/token.h"

namespace citronlane {

/// Assembles a text from tokens by their offsets, without gaps or duplicates.
/// Not thread safe.
class StreamAssembly {
 public:
  enum class AcceptResult { kAccepted, kDuplicate, kGap };

  /// Appends the token if it is the next one; otherwise changes nothing and
  /// returns the reason.
  AcceptResult Accept(const Token& token);

  uint64_t next_offset() const { return next_offset_; }
  const std::string& text() const { return text_; }

 private:
  uint64_t next_offset_ = 0;
  std::string text_;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_STREAM_ASSEMBLY_H_
