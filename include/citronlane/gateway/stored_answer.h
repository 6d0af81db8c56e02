#ifndef CITRONLANE_GATEWAY_STORED_ANSWER_H_
#define CITRONLANE_GATEWAY_STORED_ANSWER_H_

#include <string>

namespace citronlane {

/// Final response of a request, as stored under its Idempotency-Key.
struct StoredAnswer {
  int status_ = 0;
  std::string content_type_;
  std::string body_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_STORED_ANSWER_H_
