#ifndef CITRONLANE_TESTS_SUPPORT_TEST_CERTIFICATES_H_
#define CITRONLANE_TESTS_SUPPORT_TEST_CERTIFICATES_H_

#include <filesystem>
#include <string>

#include "citronlane/transport/tls_files.h"

namespace citronlane {

/// Writes a new CA and a certificate for 127.0.0.1 signed by it into `folder`,
/// as PEM files that begin with `name`. The key is readable by its owner alone.
TlsFiles WriteTestCertificates(const std::filesystem::path& folder,
                               const std::string& name);

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_TEST_CERTIFICATES_H_
