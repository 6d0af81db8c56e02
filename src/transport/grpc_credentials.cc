#include "citronlane/transport/grpc_credentials.h"

#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <system_error>

#include "citronlane/transport/tls_files.h"

namespace citronlane {
namespace {

struct PemTexts {
  std::string certificate_;
  std::string private_key_;
  std::string ca_;
};

bool ReadText(const std::string& path, std::string* text, Error* error) {
  std::ifstream file(path, std::ios::binary);
  text->assign(std::istreambuf_iterator<char>(file),
               std::istreambuf_iterator<char>());
  if (!file || text->empty()) {
    error->message_ = "can not read " + path;
    return false;
  }
  return true;
}

bool IsPrivate(const std::string& path, Error* error) {
  namespace fs = std::filesystem;
  constexpr fs::perms kOthers = fs::perms::group_all | fs::perms::others_all;
  std::error_code code;
  const fs::perms perms = fs::status(path, code).permissions();
  if (code || (perms & kOthers) != fs::perms::none) {
    error->message_ =
        "private key " + path + " may be read by its owner alone (mode 0600)";
    return false;
  }
  return true;
}

std::optional<PemTexts> ReadPemTexts(const TlsFiles& files, Error* error) {
  PemTexts texts;
  if (!IsPrivate(files.private_key_, error) ||
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
