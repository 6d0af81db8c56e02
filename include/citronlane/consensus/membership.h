#ifndef CITRONLANE_CONSENSUS_MEMBERSHIP_H_
#define CITRONLANE_CONSENSUS_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <string>

namespace citronlane {

/// The control VMs of the cluster: voters decide, learners only receive the
/// log. Each value is the "IP:port" of the internal service.
struct Membership {
  std::map<uint64_t, std::string> voters_;
  std::map<uint64_t, std::string> learners_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONSENSUS_MEMBERSHIP_H_
