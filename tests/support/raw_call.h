#ifndef CITRONLANE_TESTS_SUPPORT_RAW_CALL_H_
#define CITRONLANE_TESTS_SUPPORT_RAW_CALL_H_

#include <cstdint>
#include <string>

namespace citronlane {

/// Sends bytes to the port of 127.0.0.1 and returns all that comes back until
/// the close. Thread safe.
std::string Raw(uint16_t port, const std::string& text);

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_RAW_CALL_H_
