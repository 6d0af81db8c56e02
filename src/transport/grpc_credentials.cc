#include "citronlane/transport/grpc_credentials.h"

#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>

#include <optional>
#include <string>
#include <utility>

#include "citronlane/settings/files.h"
#include "citronlane/transport/tls_files.h"

namespace citronlane {
namespace {

struct PemTexts {
  std::string certificate_;
  std::string private_key_;
  std::string ca_;
};

bool ReadText(const std::string& path, std::string* text, Error* error) {
  std::optional<std::string> read = ReadFile(path, error);
  if (!read || read->empty()) {
    error->message_ = "can not read " + path;
    return false;
  }
  *text = *std::move(read);
  return true;
}

std::optional<PemTexts> ReadPemTexts(const TlsFiles& files, Error* error) {
  PemTexts texts;
  if (!CheckKeyFile(files.private_key_, error) ||
      !ReadText(files.certificate_, &texts.certificate_, error) ||
      !ReadText(files.private_key_, &texts.private_key_, error)) {
    return std::nullopt;
  }
  if (!files.ca_.empty() && !ReadText(files.ca_, &texts.ca_, error)) {
    return std::nullopt;
  }
  return texts;
}

}  // namespace

std::shared_ptr<grpc::ServerCredentials> MakeServerCredentials(
    const TlsFiles& files,
    Error* error) {
  if (files.certificate_.empty()) {
    return grpc::InsecureServerCredentials();
  }
  const auto texts = ReadPemTexts(files, error);
  if (!texts) {
    return nullptr;
  }
  grpc::SslServerCredentialsOptions options(
      texts->ca_.empty()
          ? GRPC_SSL_DONT_REQUEST_CLIENT_CERTIFICATE
          : GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  options.pem_root_certs = texts->ca_;
  options.pem_key_cert_pairs.push_back(
      {texts->private_key_, texts->certificate_});
  return grpc::SslServerCredentials(options);
}

std::shared_ptr<grpc::ChannelCredentials> MakeChannelCredentials(
    const TlsFiles& files,
    Error* error) {
  if (files.certificate_.empty()) {
    return grpc::InsecureChannelCredentials();
  }
  const auto texts = ReadPemTexts(files, error);
  if (!texts) {
    return nullptr;
  }
  grpc::SslCredentialsOptions options;
  options.pem_root_certs = texts->ca_;
  options.pem_private_key = texts->private_key_;
  options.pem_cert_chain = texts->certificate_;
  return grpc::SslCredentials(options);
}

}  // namespace citronlane
