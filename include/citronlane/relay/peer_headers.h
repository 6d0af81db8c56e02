#ifndef CITRONLANE_RELAY_PEER_HEADERS_H_
#define CITRONLANE_RELAY_PEER_HEADERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/transport/http_header.h"
#include "citronlane/transport/http_reply.h"
#include "citronlane/transport/http_request.h"

namespace citronlane {

/// What a gateway that forwards a caller's request adds to it.
struct PeerRequestHead {
  /// Time since the request arrived at the first gateway.
  Duration age_{};
  /// Version of the configuration by which that gateway admitted it.
  uint64_t config_version_ = 0;
  /// Whether that gateway has counted the request for the budgets on repeats,
  /// and whether backend servers got it, or pieces of its stages, from there:
  /// what is sent now are repeats.
  bool was_counted_ = false;
  bool was_sent_ = false;
  bool were_stages_sent_ = false;
};

/// Headers of a forwarded request: the caller's, and those of `head`. Thread
/// safe.
std::vector<HttpHeader> WritePeerHeaders(absl::Span<const HttpHeader> caller,
                                         const PeerRequestHead& head);
/// Reads the added headers and removes them; nothing when they are missing or
/// malformed. Thread safe for different requests.
std::optional<PeerRequestHead> TakePeerHeaders(HttpRequest* request);

/// The reply of a gateway that can't serve a forwarded request. Nothing of it
/// has run. Thread safe.
HttpReply PeerRefusalReply();
/// Whether a reply with these headers is a PeerRefusalReply(). Thread safe.
bool IsPeerRefusal(absl::Span<const HttpHeader> headers);

/// Adds to the reply to a forwarded request that its backend server leaves,
/// which concerns the gateway that passes the reply on, too. Thread safe.
void AddLeavingServer(std::string_view server, HttpReply* reply);
/// Reads what AddLeavingServer() added and removes it; empty when there is
/// none. Thread safe for different replies.
std::string TakeLeavingServer(HttpReply* reply);

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_PEER_HEADERS_H_
