#ifndef CITRONLANE_CLI_ADMIN_REPLY_H_
#define CITRONLANE_CLI_ADMIN_REPLY_H_

#include <string>

#include "citronlane/json/value.h"

namespace citronlane {

/// Response of the administration API.
struct AdminReply {
  int status_ = 0;
  std::string text_;
  /// The parsed text; null when it is not JSON.
  JsonValue body_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CLI_ADMIN_REPLY_H_
