#include "citronlane/routing/crash_features.h"

#include <algorithm>
#include <string>

#include "citronlane/routing/crash_ledger.h"
#include "citronlane/routing/server_crash.h"
#include "citronlane/serving/request_fingerprint.h"

namespace citronlane {
std::vector<RequestFeature> FeaturesOf(const RequestFingerprint& request) {
  std::vector<RequestFeature> features{ContentFeature(request)};
  for (const std::string& segment : request.segments_) {
    features.push_back(SegmentFeature(segment));
  }
  return features;
}

std::set<RequestFeature> FeaturesOf(const ServerCrash& crash) {
  std::set<RequestFeature> features;
  for (const RequestFingerprint& request : crash.running_) {
    const auto own = FeaturesOf(request);
    features.insert(own.begin(), own.end());
  }
  return features;
}

size_t CountSegments(const ServerCrash& crash) {
  size_t count = 0;
  for (const RequestFingerprint& request : crash.running_) {
    count += request.segments_.size();
  }
  return count;
}

void KeepIndependent(std::vector<const ServerCrash*>* crashes) {
  std::sort(crashes->begin(), crashes->end(),
            [](const ServerCrash* a, const ServerCrash* b) {
              return a->at_ < b->at_;
            });
  const ServerCrash* last = nullptr;
  const auto is_joint = [&last](const ServerCrash* crash) {
    if (last != nullptr &&
        crash->at_ - last->at_ < CrashLedger::kIndependentDelay) {
      return true;
    }
    last = crash;
    return false;
  };
  crashes->erase(std::remove_if(crashes->begin(), crashes->end(), is_joint),
                 crashes->end());
}

}  // namespace citronlane
