#ifndef CITRONLANE_CONTROL_OPERATOR_KEY_H_
#define CITRONLANE_CONTROL_OPERATOR_KEY_H_

#include <string>

#include "citronlane/control/operator_role.h"

namespace citronlane {

/// Bearer key of one operator of the administration API.
struct OperatorKey {
  /// Name of the operator, recorded in the history of each change.
  std::string operator_;
  /// Lower-case hexadecimal SHA-256 digest of the key.
  std::string digest_;
  OperatorRole role_ = OperatorRole::kRead;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_OPERATOR_KEY_H_
