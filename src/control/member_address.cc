#include "citronlane/control/member_address.h"

namespace citronlane {
namespace {

constexpr char kNonceSeparator = '#';

}  // namespace

std::string MemberAddress(std::string_view endpoint, uint64_t nonce) {
  return std::string(endpoint) + kNonceSeparator + std::to_string(nonce);
}

std::string EndpointOf(std::string_view address) {
  return std::string(address.substr(0, address.find(kNonceSeparator)));
}

}  // namespace citronlane
