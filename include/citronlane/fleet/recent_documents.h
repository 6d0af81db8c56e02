#ifndef CITRONLANE_FLEET_RECENT_DOCUMENTS_H_
#define CITRONLANE_FLEET_RECENT_DOCUMENTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "citronlane/base/error.h"

namespace citronlane {

/// The newest version of a document, and those before it as far as their bytes
/// fit, so that a receiver of one of them is sent the difference. Not thread
/// safe.
class RecentDocuments {
 public:
  /// The newest version, for those who hold `base_`; for everybody when there
  /// is none.
  struct Update {
    uint64_t version_ = 0;
    std::optional<uint64_t> base_;
    std::string data_;
  };

  /// The newest document is kept whatever its size.
  explicit RecentDocuments(size_t max_bytes);

  /// Adds a version. One that is lower than the newest takes the place of all.
  void Add(uint64_t version, std::string_view document);

  /// Highest version added; nothing when there is none.
  std::optional<uint64_t> newest() const;
  /// Update to the newest version for a receiver of `held`, made once for all
  /// that hold the same; null with the reason when it can't be made. Valid
  /// until the next call of Add. Precondition: a document was added.
  const Update* UpdateFrom(std::optional<uint64_t> held, Error* error);

  size_t bytes() const { return bytes_; }

 private:
  void DropOldest();

  const size_t max_bytes_;
  std::map<uint64_t, std::string> documents_;
  /// Updates to the newest version by their base.
  std::map<std::optional<uint64_t>, Update> updates_;
  size_t bytes_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_RECENT_DOCUMENTS_H_
