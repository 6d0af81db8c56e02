#ifndef CITRONLANE_TRANSPORT_TLS_FILES_H_
#define CITRONLANE_TRANSPORT_TLS_FILES_H_

#include <string>

namespace citronlane {

/// PEM files of one side of a TLS connection. With an empty certificate the
/// side speaks plain TCP.
struct TlsFiles {
  std::string certificate_;
  std::string private_key_;
  /// Certificates the other side must be signed by; empty asks for none.
  std::string ca_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_TLS_FILES_H_
