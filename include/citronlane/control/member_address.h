#ifndef CITRONLANE_CONTROL_MEMBER_ADDRESS_H_
#define CITRONLANE_CONTROL_MEMBER_ADDRESS_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace citronlane {

/// Address of a member as the membership holds it: "IP:port" of its internal
/// service and, for one that joined later, "#" and the number drawn by the disk
/// that joined. A VM that comes back with an empty disk has another number.
std::string MemberAddress(std::string_view endpoint, uint64_t nonce);

/// "IP:port" of a member's address.
std::string EndpointOf(std::string_view address);

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_MEMBER_ADDRESS_H_
