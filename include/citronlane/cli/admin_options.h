#ifndef CITRONLANE_CLI_ADMIN_OPTIONS_H_
#define CITRONLANE_CLI_ADMIN_OPTIONS_H_

#include <chrono>
#include <string>
#include <vector>

namespace citronlane {

/// How the command line reaches the administration API.
struct AdminOptions {
  /// "IP:port" of control VMs, tried in turn.
  std::vector<std::string> addresses_;
  /// File with the operator's key; empty sends none.
  std::string key_file_;
  /// Uses TLS when set: the file with the certificates that sign the servers'.
  std::string ca_file_;
  /// For one call with all its tries.
  std::chrono::milliseconds timeout_{10'000};
};

}  // namespace citronlane

#endif  // CITRONLANE_CLI_ADMIN_OPTIONS_H_
