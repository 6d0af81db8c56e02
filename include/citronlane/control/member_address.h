#ifndef CITRONLANE_CONTROL_MEMBER_ADDRESS_H_
#define CITRONLANE_CONTROL_MEMBER_ADDRESS_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace citronlane {

/// Returns the address of a member that joined a running cluster, as the
/// membership stores it: "IP:port" of its internal service, "#" and the nonce
/// that it drew when it joined. A VM that returns with an empty disk has
/// another nonce. Members that formed the cluster have no nonce. Thread safe.
std::string MemberAddress(std::string_view endpoint, uint64_t nonce);

/// Returns the "IP:port" of a member's address. Thread safe.
std::string EndpointOf(std::string_view address);

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_MEMBER_ADDRESS_H_
