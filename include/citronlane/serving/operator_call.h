#ifndef CITRONLANE_SERVING_OPERATOR_CALL_H_
#define CITRONLANE_SERVING_OPERATOR_CALL_H_

#include <string>

namespace citronlane {

/// Request of an operator's HTTP call.
struct OperatorCall {
  enum class Kind {
    kUnknown,
    kReplaceConfig,
    kReadConfig,
    /// The servers of a failure domain take no new work from now on.
    kDrainDomain,
    /// The servers of a failure domain take new work again.
    kUndrainDomain,
  };

  Kind kind_ = Kind::kUnknown;
  /// Set for the last two kinds.
  std::string failure_domain_;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_OPERATOR_CALL_H_
