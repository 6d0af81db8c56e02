#include "citronlane/base/hex.h"

namespace citronlane {

std::string ToHex(std::string_view bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  constexpr unsigned kNibbleBits = 4;
  constexpr unsigned kNibbleMask = 0xf;
  std::string hex;
  hex.reserve(2 * bytes.size());
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    hex.push_back(kDigits[value >> kNibbleBits]);
    hex.push_back(kDigits[value & kNibbleMask]);
  }
  return hex;
}

}  // namespace citronlane
