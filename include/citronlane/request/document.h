#ifndef CITRONLANE_REQUEST_DOCUMENT_H_
#define CITRONLANE_REQUEST_DOCUMENT_H_

#include <string>

namespace citronlane {

/// A document found by a retriever. Rerankers replace its score.
struct Document {
  std::string id_;
  std::string text_;
  double score_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_DOCUMENT_H_
