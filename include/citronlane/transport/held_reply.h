#ifndef CITRONLANE_TRANSPORT_HELD_REPLY_H_
#define CITRONLANE_TRANSPORT_HELD_REPLY_H_

#include <cstdint>

#include "citronlane/transport/reply_memory.h"

namespace citronlane {

/// The share of one reply in a ReplyMemory, given back on destruction. Not
/// thread safe.
class HeldReply {
 public:
  /// `memory` must outlive the object.
  explicit HeldReply(ReplyMemory* memory) : memory_(memory) {}
  ~HeldReply() { memory_->Resize(bytes_, 0); }
  HeldReply(const HeldReply&) = delete;
  HeldReply& operator=(const HeldReply&) = delete;

  /// Call when the reply has grown or shrunk to `bytes`. Returns false if there
  /// is no memory for it: the reply must then be dropped.
  bool Resize(uint64_t bytes) {
    if (!memory_->Resize(bytes_, bytes)) {
      return false;
    }
    bytes_ = bytes;
    return true;
  }

 private:
  ReplyMemory* const memory_;
  uint64_t bytes_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_HELD_REPLY_H_
