#ifndef CITRONLANE_SERVING_OPERATOR_CALL_H_
#define CITRONLANE_SERVING_OPERATOR_CALL_H_

#include <string>

namespace citronlane {

/// What an operator's HTTP call asks for.
struct OperatorCall {
  enum class Kind {
    kUnknown,
    kReplaceConfig,
    kReadConfig,
    /// The servers of a failure domain take no new work from now on.
    kDrainDomain,
    /// They take it again.
    kUndrainDomain,
  };

  Kind kind_ = Kind::kUnknown;
  /// Of the last two kinds.
  std::string failure_domain_;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_OPERATOR_CALL_H_
