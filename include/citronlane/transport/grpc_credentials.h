#ifndef CITRONLANE_TRANSPORT_GRPC_CREDENTIALS_H_
#define CITRONLANE_TRANSPORT_GRPC_CREDENTIALS_H_

#include <memory>

#include "citronlane/base/error.h"

namespace grpc {
class ChannelCredentials;
class ServerCredentials;
}  // namespace grpc

namespace citronlane {

struct TlsFiles;

/// Creates the credentials of a gRPC server or client: plain TCP if `files`
/// names no certificate, TLS otherwise, and mutual TLS if it also names a CA.
/// Returns null and sets `error` if a file can't be read, or if others than its
/// owner may read the private key. Thread safe.
std::shared_ptr<grpc::ServerCredentials> MakeServerCredentials(
    const TlsFiles& files,
    Error* error);
std::shared_ptr<grpc::ChannelCredentials> MakeChannelCredentials(
    const TlsFiles& files,
    Error* error);

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_GRPC_CREDENTIALS_H_
