#ifndef CITRONLANE_TRANSPORT_HTTP_REPLY_H_
#define CITRONLANE_TRANSPORT_HTTP_REPLY_H_

#include <string>
#include <vector>

#include "citronlane/transport/http_header.h"

namespace citronlane {

/// A complete HTTP response to a caller.
struct HttpReply {
  int status_ = 200;
  std::string content_type_ = "application/json";
  std::vector<HttpHeader> headers_;
  std::string body_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_HTTP_REPLY_H_
