#ifndef CITRONLANE_CONTROL_OPERATOR_ROLE_H_
#define CITRONLANE_CONTROL_OPERATOR_ROLE_H_

namespace citronlane {

/// Permissions of an operator's key on the administration API.
enum class OperatorRole {
  /// All GET calls.
  kRead,
  /// All calls.
  kChange,
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_OPERATOR_ROLE_H_
