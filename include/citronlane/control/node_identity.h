#ifndef CITRONLANE_CONTROL_NODE_IDENTITY_H_
#define CITRONLANE_CONTROL_NODE_IDENTITY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "citronlane/base/error.h"

namespace citronlane {

/// Identity of this VM as a node, stored on its disk. Each identity has a
/// folder of its own, whose name holds the node id and whether the id was
/// derived from the first seeds or assigned by a leader.
struct NodeIdentity {
  uint64_t id_ = 0;
  /// Whether the node is one of the voters that form the cluster.
  bool is_founder_ = false;

  /// Returns the folder of the identity in `data_dir`.
  std::string Folder(const std::string& data_dir) const;

  /// Returns the identity with the highest id on the disk, or nullopt when
  /// there is none. Sets `error` when the folder can not be read.
  static std::optional<NodeIdentity> Find(const std::string& data_dir,
                                          Error* error);

  /// Removes every identity with its files. Returns false and sets `error` when
  /// that fails.
  static bool RemoveAll(const std::string& data_dir, Error* error);
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_NODE_IDENTITY_H_
