#ifndef CITRONLANE_TRANSPORT_DETAIL_REPORTER_H_
#define CITRONLANE_TRANSPORT_DETAIL_REPORTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "citronlane/transport/control_client_hooks.h"
#include "citronlane/transport/detail/control_link.h"

namespace citronlane {

/// Reports usage, refusals and draining servers to the control VMs. One report
/// is in flight at a time and is resent until it is accepted; its sequence
/// number ensures that it counts once. Used on the link's thread, on which the
/// hooks are called, too.
class Reporter {
 public:
  using Done = std::function<void(bool)>;

  Reporter(ControlLink* link, const ControlClientHooks& hooks);

  /// Sends a report now and then once per interval. Thread safe.
  void Start();

  /// Adds refusals to the next report. `done` is called once: with true when
  /// they were accepted, or with false at `deadline`; they may still be
  /// accepted then.
  void AddRefusals(std::vector<wire::RefusalRecord> refusals,
                   uint64_t dropped,
                   TimePoint deadline,
                   Done done);
  void AddLeaving(const std::string& server, uint64_t incarnation);
  void AddCrashes(const wire::fleet::CrashReports& reports);

 private:
  /// Refusals of one call of AddRefusals.
  struct Batch {
    std::vector<wire::RefusalRecord> refusals_;
    uint64_t dropped_ = 0;
    TimePoint deadline_{};
    Done done_;
  };

  void Tick();
  void SendIfIdle();
  bool Fill(wire::ReportRequest* request);
  void Send(const wire::ReportRequest& request);
  void OnReply(const std::optional<wire::ReportReply>& reply, TimePoint sent);
  void ExpireBatches();

  ControlLink* const link_;
  const ControlClientHooks& hooks_;
  uint64_t sequence_ = 0;
  std::optional<wire::ReportRequest> in_flight_;
  std::vector<Batch> sent_;
  std::vector<Batch> waiting_;
  std::map<std::string, uint64_t> leaving_;
  wire::fleet::CrashReports crashes_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_DETAIL_REPORTER_H_
