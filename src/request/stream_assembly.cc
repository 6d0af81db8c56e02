#include "citronlane/request/stream_assembly.h"

namespace citronlane {

StreamAssembly::AcceptResult StreamAssembly::Accept(const Token& token) {
  if (token.offset_ < next_offset_) {
    return AcceptResult::kDuplicate;
  }
  if (token.offset_ > next_offset_) {
    return AcceptResult::kGap;
  }
  ++next_offset_;
  text_ += token.text_;
  return AcceptResult::kAccepted;
}

}  // namespace citronlane
