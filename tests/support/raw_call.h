#ifndef CITRONLANE_TESTS_SUPPORT_RAW_CALL_H_
#define CITRONLANE_TESTS_SUPPORT_RAW_CALL_H_

#include <cstdint>
#include <string>

namespace citronlane {

/// Sends bytes to a port of 127.0.0.1 and returns everything received until the
/// peer closes the connection. Thread safe.
std::string SendRaw(uint16_t port, const std::string& text);

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_RAW_CALL_H_
