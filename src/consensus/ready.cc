#include "citronlane/consensus/ready.h"

namespace citronlane {

bool Ready::IsEmpty() const {
  return !hard_state_ && entries_.empty() && !snapshot_ &&
         early_messages_.empty() && messages_.empty() && committed_.empty() &&
         confirmed_reads_.empty();
}

}  // namespace citronlane
