#ifndef CITRONLANE_TRANSPORT_TLS_FILES_H_
#define CITRONLANE_TRANSPORT_TLS_FILES_H_

#include <string>

namespace citronlane {

/// Paths of the PEM files of one side of a TLS connection. Without a
/// certificate, this side uses plain TCP.
struct TlsFiles {
  std::string certificate_;
  std::string private_key_;
  /// CA certificates that must have signed the certificate of the other side.
  /// Empty: a server requires no client certificate, a client accepts
  /// certificates of gRPC's default CAs.
  std::string ca_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_TLS_FILES_H_
