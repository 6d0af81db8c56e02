#ifndef CITRONLANE_TESTS_SUPPORT_TEST_CERTIFICATES_H_
#define CITRONLANE_TESTS_SUPPORT_TEST_CERTIFICATES_H_

#include <filesystem>
#include <string>

#include "citronlane/transport/tls_files.h"

namespace citronlane {

/// Creates a CA and a certificate for 127.0.0.1 signed by it, and writes them
/// into `folder` as PEM files whose names begin with `name`. Only the owner may
/// read the key file.
TlsFiles WriteTestCertificates(const std::filesystem::path& folder,
                               const std::string& name);

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_TEST_CERTIFICATES_H_
