#include "citronlane/request/stream_assembly.h"

namespace citronlane {

StreamAssembly::Taken StreamAssembly::Accept(const Token& token) {
  if (token.offset_ < next_offset_) {
    return Taken::kDuplicate;
  }
  if (token.offset_ > next_offset_) {
    return Taken::kGap;
  }
  ++next_offset_;
  text_ += token.text_;
  return Taken::kTaken;
}

}  // namespace citronlane
