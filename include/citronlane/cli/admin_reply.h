#ifndef CITRONLANE_CLI_ADMIN_REPLY_H_
#define CITRONLANE_CLI_ADMIN_REPLY_H_

#include "citronlane/json/value.h"

namespace citronlane {

/// What the administration API answered.
struct AdminReply {
  int status_ = 0;
  /// Null when the body is no JSON.
  JsonValue body_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CLI_ADMIN_REPLY_H_
