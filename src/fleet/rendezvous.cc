#include "citronlane/fleet/rendezvous.h"

#include <xxhash.h>

namespace citronlane {

uint64_t RendezvousWeight(std::string_view key, std::string_view node) {
  return XXH64(node.data(), node.size(), XXH64(key.data(), key.size(), 0));
}

}  // namespace citronlane
