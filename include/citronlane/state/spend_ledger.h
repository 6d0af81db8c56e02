#ifndef CITRONLANE_STATE_SPEND_LEDGER_H_
#define CITRONLANE_STATE_SPEND_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "state.pb.h"

namespace citronlane {

/// What the whole fleet spent per class and hour, and the shares leased to
/// gateways. Spent amounts and valid shares together never pass the class's
/// limit for the hour, as long as no gateway spends beyond its share. Amounts
/// in micro-units. Pure. Not thread safe.
class SpendLedger {
 public:
  /// Books a gateway's report and leases it the next shares. A resend (same
  /// incarnation and sequence) books nothing and gets the same shares.
  std::vector<wire::SpendShare> Report(uint64_t time_ms,
                                       const wire::ReportCommand& report);

  /// Whether the report, or a later one of the incarnation, is booked.
  bool IsResend(const wire::ReportCommand& report) const;

  /// Spent in the present hour, for reports.
  uint64_t Spent(const std::string& class_name) const;

  /// The gateway is gone: its shares end with their lease.
  void OnGatewayForgotten(const std::string& name);

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

  static void Roll(uint64_t time_ms, Ledger* ledger);
  static uint64_t Available(const Ledger& ledger,
                            const Owner& owner,
                            uint64_t limit);
  wire::SpendShare Lease(uint64_t time_ms,
                         const wire::ReportCommand& report,
                         const wire::ClassLimit& limit);

  std::map<std::string, Ledger> classes_;
  /// Last report of each gateway, by name.
  std::map<std::string, wire::ReportMark> marks_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_SPEND_LEDGER_H_
