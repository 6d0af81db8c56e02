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

/// The configuration and how it came about. Versions only rise, by one for
/// each committed change; of changes on the same base version the first
/// committed wins. Pure. Not thread safe.
class ConfigurationHistory {
 public:
  ConfigurationHistory();

  /// Applies a committed change. `time_ms` is cluster time.
  wire::ConfigResult Apply(uint64_t index,
                           uint64_t time_ms,
                           const wire::ConfigChange& change);

  /// Returns the result of a change that needs no commit: one whose id is
  /// known, or that can't win any more. Nothing when it has to be proposed.
  std::optional<wire::ConfigResult> ResultOf(
      const wire::ConfigChange& change) const;

  /// Returns the whole document that the change leads to from the present
  /// version, for validation. Nothing and a reason when it can't be read.
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
  /// nothing when it is not in the history.
  std::optional<std::string> DocumentAt(uint64_t version) const;

  /// Returns the merge patch from a version to the present one, or nothing when
  /// that version is not in the history.
  std::optional<std::string> PatchFrom(uint64_t version) const;

  size_t remembered_change_ids() const { return change_ids_.size(); }

  void Save(wire::ConfigSnapshot* snapshot) const;
  /// Replaces everything. False and a reason when the document can't be read.
  bool Load(const wire::ConfigSnapshot& snapshot, Error* error);

 private:
  std::optional<JsonValue> Target(const wire::ConfigChange& change,
                                  Error* error) const;
  std::optional<JsonValue> ValueAt(uint64_t version) const;
  wire::ConfigResult Conflict(uint64_t base_version) const;
  wire::ConfigResult Commit(uint64_t index,
                            const wire::ConfigChange& change,
                            JsonValue target);
  void Remember(uint64_t time_ms,
                const wire::ConfigChange& change,
                const wire::ConfigResult& result);
  void ExpireChangeIds(uint64_t time_ms);

  uint64_t version_ = 0;
  std::string document_;
  std::string digest_;
  JsonValue root_;
  std::deque<wire::ConfigRecord> history_;
  std::map<std::string, wire::ChangeIdRecord> change_ids_;
  /// Change ids in the order they were remembered.
  std::deque<std::string> change_id_order_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_CONFIGURATION_HISTORY_H_
