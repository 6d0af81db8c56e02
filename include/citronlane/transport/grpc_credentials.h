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

/// Credentials of a gRPC server or client: plain TCP without a certificate,
/// TLS with one, and both sides must show a certificate when `files` names a
/// CA. Null and a reason when a file can not be read, or the private key may be
/// read by others than its owner. Thread safe.
std::shared_ptr<grpc::ServerCredentials> MakeServerCredentials(
    const TlsFiles& files,
    Error* error);
std::shared_ptr<grpc::ChannelCredentials> MakeChannelCredentials(
    const TlsFiles& files,
    Error* error);

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_GRPC_CREDENTIALS_H_
