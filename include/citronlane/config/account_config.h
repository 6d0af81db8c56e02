#ifndef CITRONLANE_CONFIG_ACCOUNT_CONFIG_H_
#define CITRONLANE_CONFIG_ACCOUNT_CONFIG_H_

#include <string>
#include <vector>

namespace citronlane {

/// A client account: its keys, and the classes that it may use.
struct AccountConfig {
  std::string name_;
  /// Lower-case hexadecimal SHA-256 digests of the bearer keys in force.
  std::vector<std::string> key_digests_;
  /// Class of requests that name none.
  std::string default_class_;
  /// Classes that requests may name; empty allows all.
  std::vector<std::string> classes_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONFIG_ACCOUNT_CONFIG_H_
