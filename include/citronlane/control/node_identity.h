#ifndef CITRONLANE_CONTROL_NODE_IDENTITY_H_
#define CITRONLANE_CONTROL_NODE_IDENTITY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "citronlane/base/error.h"

namespace citronlane {

/// Who this VM's disk says it is. Each identity has a folder of its own, whose
/// name holds the node id and whether the id came with the first seeds or was
/// given by a leader.
struct NodeIdentity {
  uint64_t id_ = 0;
  /// One of the voters that begin the cluster.
  bool is_founder_ = false;

  /// Folder of the identity below `data_dir`.
  std::string Folder(const std::string& data_dir) const;

  /// The newest identity that the disk holds; nothing when it holds none, or
  /// with a reason when it can't be read.
  static std::optional<NodeIdentity> Find(const std::string& data_dir,
                                          Error* error);

  /// Removes every identity. False with a reason when the disk refuses.
  static bool RemoveAll(const std::string& data_dir, Error* error);
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_NODE_IDENTITY_H_
