#ifndef CITRONLANE_CONFIG_SERVER_CONFIG_H_
#define CITRONLANE_CONFIG_SERVER_CONFIG_H_

#include <cstdint>
#include <string>

namespace citronlane {

/// One backend server of a pool.
struct ServerConfig {
  std::string id_;
  /// IP address, never a host name.
  std::string address_;
  uint16_t port_ = 0;
  std::string failure_domain_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONFIG_SERVER_CONFIG_H_
