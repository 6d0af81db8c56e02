#include "citronlane/state/unapplied_log.h"

#include <algorithm>
#include <utility>

#include "state.pb.h"

namespace citronlane {

void UnappliedLog::OnAppended(uint64_t index, std::string_view payload) {
  wire::StateCommand command;
  if (!command.ParseFromArray(payload.data(),
                              static_cast<int>(payload.size()))) {
    return;
  }
  Item item;
  if (command.has_change()) {
    item.version_ = command.change().base_version() + 1;
  } else if (command.has_forget_gateway()) {
    item.gateway_ = command.forget_gateway().name();
    item.incarnation_ = command.forget_gateway().incarnation();
  } else if (command.register_gateway().gateway().incarnation() > 0) {
    item.gateway_ = command.register_gateway().gateway().name();
    item.incarnation_ = command.register_gateway().gateway().incarnation() - 1;
  } else {
    return;
  }
  items_[index] = std::move(item);
}

void UnappliedLog::OnTruncated(uint64_t index) {
  items_.erase(items_.lower_bound(index), items_.end());
}

void UnappliedLog::OnApplied(uint64_t index) {
  items_.erase(items_.begin(), items_.upper_bound(index));
}

uint64_t UnappliedLog::NewestVersion(uint64_t applied_version) const {
  uint64_t newest = applied_version;
  for (const auto& [index, item] : items_) {
    newest = std::max(newest, item.version_);
  }
  return newest;
}

bool UnappliedLog::RemovesGateway(std::string_view gateway,
                                  uint64_t incarnation) const {
  return std::any_of(items_.begin(), items_.end(), [&](const auto& entry) {
    return entry.second.gateway_ == gateway &&
           incarnation <= entry.second.incarnation_;
  });
}

}  // namespace citronlane
