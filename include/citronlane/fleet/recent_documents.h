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

/// The newest version of a document, and as many previous versions as fit a
/// byte limit, so that a receiver that holds one of them is sent only the
/// difference. Not thread safe.
class RecentDocuments {
 public:
  /// The newest version, encoded for receivers that hold version `base_`, or
  /// for every receiver when `base_` is not set.
  struct Update {
    uint64_t version_ = 0;
    std::optional<uint64_t> base_;
    std::string data_;
  };

  /// `max_bytes` bounds the documents kept. The newest one is kept whatever its
  /// size.
  explicit RecentDocuments(size_t max_bytes);

  /// Adds a version; no effect if it is the newest already. A version below the
  /// newest replaces all documents.
  void Add(uint64_t version, std::string_view document);

  /// Newest version; nothing when there is none.
  std::optional<uint64_t> newest() const;
  /// Update to the newest version for a receiver that holds version `held`,
  /// encoded once for all such receivers. A version that is not kept is treated
  /// as none. Returns null with the reason in `error` when encoding fails. The
  /// pointer is valid until the next call of Add(). Precondition: a document
  /// was added.
  const Update* UpdateFrom(std::optional<uint64_t> held, Error* error);

  /// Total size of the documents kept, in bytes.
  size_t bytes() const { return bytes_; }

 private:
  void DropOldest();

  const size_t max_bytes_;
  std::map<uint64_t, std::string> documents_;
  /// Updates to the newest version, by their base.
  std::map<std::optional<uint64_t>, Update> updates_;
  size_t bytes_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_RECENT_DOCUMENTS_H_
