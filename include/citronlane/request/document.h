#ifndef CITRONLANE_REQUEST_DOCUMENT_H_
#define CITRONLANE_REQUEST_DOCUMENT_H_

#include <string>

namespace citronlane {

/// One document found by a retriever, perhaps rated anew by a reranker.
struct Document {
  std::string id_;
  std::string text_;
  double score_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_DOCUMENT_H_
