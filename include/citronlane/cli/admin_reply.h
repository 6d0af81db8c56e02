#ifndef CITRONLANE_CLI_ADMIN_REPLY_H_
#define CITRONLANE_CLI_ADMIN_REPLY_H_

#include <string>

#include "citronlane/json/value.h"

namespace citronlane {

/// What the administration API answered.
struct AdminReply {
  int status_ = 0;
  std::string text_;
  /// The text as JSON; null when it is none.
  JsonValue body_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CLI_ADMIN_REPLY_H_
