#ifndef CITRONLANE_TRANSPORT_HTTP_HEADER_H_
#define CITRONLANE_TRANSPORT_HTTP_HEADER_H_

#include <string>

namespace citronlane {

/// One header field.
struct HttpHeader {
  std::string name_;
  std::string value_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_HTTP_HEADER_H_
