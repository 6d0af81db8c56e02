#include <algorithm>

#include "citronlane/net/traffic_count.h"
#include "citronlane/process/processor_time.h"
#include "citronlane/relay/detail/gateway_host_impl.h"

namespace citronlane {
namespace {

/// Control must see within a second that an owner is overloaded.
constexpr Duration kOwnerReportInterval = std::chrono::milliseconds(250);
/// Others are candidates for the next owner, and show what load all gateways
/// have alike.
constexpr Duration kReportInterval = std::chrono::seconds(1);

}  // namespace

size_t GatewayHost::Impl::CountOwned() const {
  const auto& owners = view_.owners();
  return static_cast<size_t>(
      std::count_if(owners.begin(), owners.end(), [this](const auto& owner) {
        return owner.second == settings_.internal_listen_;
      }));
}

void GatewayHost::Impl::SampleLoad(TimePoint now) {
  load_meter_.Sample(now, ProcessorTime(), TrafficBytes());
  const Duration interval =
      CountOwned() > 0 ? kOwnerReportInterval : kReportInterval;
  if (!control_takes_load_ || now - load_reported_ < interval) {
    return;
  }
  load_reported_ = now;
  watch_.ReportLoad(load_meter_.load());
}

}  // namespace citronlane
