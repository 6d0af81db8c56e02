#ifndef CITRONLANE_CLI_ADMIN_OPTIONS_H_
#define CITRONLANE_CLI_ADMIN_OPTIONS_H_

#include <chrono>
#include <string>
#include <vector>

namespace citronlane {

/// Options of the client of the administration API.
struct AdminOptions {
  /// "IP:port" of the control VMs, in the order in which they are tried.
  std::vector<std::string> addresses_;
  /// File with the operator's key; without one, calls are sent without a key.
  std::string key_file_;
  /// File with the certificates of the authorities that sign those of the
  /// control VMs; empty for plain HTTP.
  std::string ca_file_;
  /// Time for one call with all its tries.
  std::chrono::milliseconds timeout_{10'000};
};

}  // namespace citronlane

#endif  // CITRONLANE_CLI_ADMIN_OPTIONS_H_
