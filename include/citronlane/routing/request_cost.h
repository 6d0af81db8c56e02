#ifndef CITRONLANE_ROUTING_REQUEST_COST_H_
#define CITRONLANE_ROUTING_REQUEST_COST_H_

namespace citronlane {

/// What a request is expected to cost a model engine.
struct RequestCost {
  struct Amount {
    double expected_ = 0;
    /// Nine of ten requests take at most this.
    double upper_ = 0;
  };
  /// Prompt tokens to read.
  Amount prefill_;
  /// Units of output, as the model learns them; 0 while nothing is learned of
  /// such requests.
  Amount output_;
  /// Tokens held at the end of the run.
  Amount memory_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_REQUEST_COST_H_
