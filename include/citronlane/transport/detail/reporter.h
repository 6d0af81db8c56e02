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

/// Sends what a gateway used, refused and saw leaving. One report is under way
/// at a time and is sent until control has it, so that each counts once. Used
/// on the link's thread, which also runs the hooks.
class Reporter {
 public:
  using Done = std::function<void(bool)>;

  Reporter(ControlLink* link, const ControlClientHooks& hooks);

  /// Reports now and then in each interval.
  void Start();

  /// `done` is called once with whether control has them.
  void AddRefusals(std::vector<wire::RefusalRecord> refusals,
                   uint64_t dropped,
                   TimePoint deadline,
                   Done done);
  void AddLeaving(const std::string& server, uint64_t incarnation);

 private:
  /// Refusals that wait for a report, with whom to tell.
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
  void DropLate();

  ControlLink* const link_;
  const ControlClientHooks& hooks_;
  uint64_t sequence_ = 0;
  std::optional<wire::ReportRequest> open_;
  std::vector<Batch> sent_;
  std::vector<Batch> waiting_;
  std::map<std::string, uint64_t> leaving_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_DETAIL_REPORTER_H_
