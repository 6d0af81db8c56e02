#ifndef CITRONLANE_STATE_DRAINED_DOMAINS_H_
#define CITRONLANE_STATE_DRAINED_DOMAINS_H_

#include <set>
#include <string>
#include <string_view>

namespace citronlane {

/// Replicated set of drained failure domains: their backend servers get no new
/// work until an operator ends the drain. Deterministic and without I/O. Not
/// thread safe.
class DrainedDomains {
 public:
  using Names = std::set<std::string, std::less<>>;

  /// Whether `name` is a valid domain name: 1 to 64 letters, digits, ".", "_"
  /// and "-".
  static bool IsName(std::string_view name);
  /// Returns the command that drains a domain or ends its drain. Precondition:
  /// IsName(domain).
  static std::string Command(std::string_view domain, bool is_drained);
  /// Whether `command` has the form that Command returns.
  static bool IsCommand(std::string_view command);

  /// Applies a committed command. Returns whether it changed anything; a
  /// malformed command and a domain beyond the maximum change nothing.
  bool Apply(std::string_view command);

  /// Whether the domain can be drained: it is already, or fewer than the
  /// maximum are.
  bool HasCapacityFor(std::string_view domain) const;
  const Names& names() const { return names_; }

  /// Returns the complete state on one line.
  std::string Snapshot() const;
  /// Replaces the state by one that Snapshot returned.
  void Restore(std::string_view snapshot);

 private:
  /// Bounds the state; far above the number of failure domains of a fleet.
  static constexpr size_t kMaxDomains = 64;

  Names names_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_DRAINED_DOMAINS_H_
