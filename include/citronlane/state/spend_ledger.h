#ifndef CITRONLANE_STATE_SPEND_LEDGER_H_
#define CITRONLANE_STATE_SPEND_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "state.pb.h"

namespace citronlane {

/// The fleet's spend per class and hour, and the shares of the limit leased to
/// gateways. The spent amount and the valid shares together never exceed the
/// class's limit for the hour, as long as no gateway spends more than its
/// share. Amounts are in micro-units. Deterministic and without I/O. Not thread
/// safe.
class SpendLedger {
 public:
  /// Adds a gateway's reported spend and leases it its next shares. A resend
  /// (see IsResend) adds nothing and gets the last shares again.
  std::vector<wire::SpendShare> Report(uint64_t time_ms,
                                       const wire::ReportCommand& report);

  /// Whether this report or a later one of the same incarnation was processed.
  bool IsResend(const wire::ReportCommand& report) const;

  /// Returns the amount of the class spent in the hour of its last report.
  uint64_t Spent(const std::string& class_name) const;

  /// Drops the report mark of a gateway that left the registry; its shares
  /// expire with their lease.
  void OnGatewayRemoved(const std::string& name);

  void Save(wire::SpendSnapshot* snapshot) const;
  void Load(const wire::SpendSnapshot& snapshot);

 private:
  struct Share {
    uint64_t amount_ = 0;
    uint64_t rate_ = 0;
    uint64_t expires_ms_ = 0;
  };
  using Owner = std::pair<std::string, uint64_t>;
  struct Ledger {
    uint64_t hour_ = 0;
    uint64_t spent_ = 0;
    uint64_t spent_last_hour_ = 0;
    std::map<Owner, Share> shares_;
  };

  /// Starts the hour of `time_ms` if it is a new one, and drops the shares that
  /// have expired by then.
  static void AdvanceTo(uint64_t time_ms, Ledger* ledger);
  static uint64_t Available(const Ledger& ledger,
                            const Owner& owner,
                            uint64_t limit);
  wire::SpendShare Lease(uint64_t time_ms,
                         const wire::ReportCommand& report,
                         const wire::ClassLimit& limit);

  std::map<std::string, Ledger> classes_;
  /// Last report of each gateway by name, with the shares it was leased.
  std::map<std::string, wire::ReportMark> marks_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_SPEND_LEDGER_H_
