#ifndef CITRONLANE_SERVING_OPERATOR_CALL_H_
#define CITRONLANE_SERVING_OPERATOR_CALL_H_

namespace citronlane {

/// What an operator's HTTP call asks for.
enum class OperatorCall {
  kUnknown,
  kReplaceConfig,
  kReadConfig,
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_OPERATOR_CALL_H_
