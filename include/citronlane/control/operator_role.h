#ifndef CITRONLANE_CONTROL_OPERATOR_ROLE_H_
#define CITRONLANE_CONTROL_OPERATOR_ROLE_H_

namespace citronlane {

/// What an operator's key allows on the administration API.
enum class OperatorRole {
  /// Every GET.
  kRead,
  /// Everything.
  kChange,
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_OPERATOR_ROLE_H_
