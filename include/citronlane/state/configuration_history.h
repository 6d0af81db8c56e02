#ifndef CITRONLANE_STATE_CONFIGURATION_HISTORY_H_
#define CITRONLANE_STATE_CONFIGURATION_HISTORY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "citronlane/base/error.h"
#include "citronlane/json/value.h"
#include "state.pb.h"

namespace citronlane {

/// The configuration and the history of its changes. The version rises by one
/// with each committed change; of the changes on the same base version the
/// first committed wins. Deterministic and without I/O. Not thread safe.
class ConfigurationHistory {
 public:
  ConfigurationHistory();

  /// Applies a committed change at log position `index`. `time_ms` is cluster
  /// time in milliseconds. A change id that was applied before gets its first
  /// result and changes nothing.
  wire::ConfigResult Apply(uint64_t index,
                           uint64_t time_ms,
                           const wire::ConfigChange& change);

  /// Returns the result of a change that needs no commit: its id is known, its
  /// base version is not the current one, or the version to roll back to is not
  /// in the history. Returns nullopt when it has to be proposed.
  std::optional<wire::ConfigResult> ResultOf(
      const wire::ConfigChange& change) const;

  /// Returns the full document that results from applying the change to the
  /// current version, for validation. Returns nullopt and sets `error` when the
  /// change is malformed.
  std::optional<std::string> Preview(const wire::ConfigChange& change,
                                     Error* error) const;

  uint64_t version() const { return version_; }
  /// Canonical JSON; empty at version 0.
  const std::string& document() const { return document_; }
  /// SHA-256 of document(), hexadecimal.
  const std::string& digest() const { return digest_; }

  /// The newest versions, oldest first.
  const std::deque<wire::ConfigRecord>& history() const { return history_; }

  /// Returns the record of a version, or null when it is not in the history.
  const wire::ConfigRecord* Find(uint64_t version) const;

  /// Returns the document of a version, rebuilt from the backward patches, or
  /// nullopt when it is not in the history.
  std::optional<std::string> DocumentAt(uint64_t version) const;

  /// Returns the merge patch from a version to the current one, or nullopt when
  /// that version is not in the history.
  std::optional<std::string> PatchFrom(uint64_t version) const;

  size_t change_id_count() const { return change_ids_.size(); }

  void Save(wire::ConfigSnapshot* snapshot) const;
  /// Replaces the complete state. Returns false, sets `error` and changes
  /// nothing when the document is not valid.
  bool Load(const wire::ConfigSnapshot& snapshot, Error* error);

 private:
  std::optional<JsonValue> Target(const wire::ConfigChange& change,
                                  Error* error) const;
  std::optional<JsonValue> ValueAt(uint64_t version) const;
  wire::ConfigResult Conflict(uint64_t base_version) const;
  wire::ConfigResult Commit(uint64_t index,
                            const wire::ConfigChange& change,
                            JsonValue target);
  void RecordChangeId(uint64_t time_ms,
                      const wire::ConfigChange& change,
                      const wire::ConfigResult& result);
  void ExpireChangeIds(uint64_t time_ms);

  uint64_t version_ = 0;
  std::string document_;
  std::string digest_;
  JsonValue root_;
  std::deque<wire::ConfigRecord> history_;
  std::map<std::string, wire::ChangeIdRecord> change_ids_;
  /// Change ids in the order in which they were recorded.
  std::deque<std::string> change_id_order_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_CONFIGURATION_HISTORY_H_
