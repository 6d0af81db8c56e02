#ifndef CITRONLANE_STATE_DRAINED_DOMAINS_H_
#define CITRONLANE_STATE_DRAINED_DOMAINS_H_

#include <set>
#include <string>
#include <string_view>

namespace citronlane {

/// Replicated state: failure domains whose backend servers take no new work
/// until an operator takes that back. Pure and deterministic. Not thread safe.
class DrainedDomains {
 public:
  using Names = std::set<std::string, std::less<>>;

  /// Whether a name can be held: letters, digits, ".", "_" and "-", 64 at most.
  static bool IsName(std::string_view name);
  /// Command that drains a domain, or ends that. Precondition: IsName(domain).
  static std::string Command(std::string_view domain, bool is_drained);
  /// Whether a command is one of these.
  static bool IsCommand(std::string_view command);

  /// Applies a committed command. Returns whether it changed anything. One more
  /// domain than kMost changes nothing.
  bool Apply(std::string_view command);

  /// Whether the domain can be drained: it is, or there is room.
  bool HasRoomFor(std::string_view domain) const;
  const Names& names() const { return names_; }

  /// The whole state on one line, and back.
  std::string Snapshot() const;
  void Restore(std::string_view snapshot);

 private:
  /// Far above the failure domains of a fleet; bounds the state.
  static constexpr size_t kMost = 64;

  Names names_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_DRAINED_DOMAINS_H_
