#ifndef CITRONLANE_RELAY_FORWARDED_HEADERS_H_
#define CITRONLANE_RELAY_FORWARDED_HEADERS_H_

#include <vector>

#include "absl/types/span.h"
#include "citronlane/transport/http_header.h"

namespace citronlane {

/// Returns the headers without those that concern a single connection or that
/// are written anew for each message (framing, connection, host). Thread safe.
std::vector<HttpHeader> ForwardedHeaders(absl::Span<const HttpHeader> headers);

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_FORWARDED_HEADERS_H_
