#ifndef CITRONLANE_ROUTING_CRASH_FEATURES_H_
#define CITRONLANE_ROUTING_CRASH_FEATURES_H_

#include <cstddef>
#include <set>
#include <vector>

#include "citronlane/serving/request_feature.h"

namespace citronlane {

struct RequestFingerprint;
struct ServerCrash;

/// The features of a request, its content first. Thread safe.
std::vector<RequestFeature> FeaturesOf(const RequestFingerprint& request);
/// The features of all requests of a crash, each once. Thread safe.
std::set<RequestFeature> FeaturesOf(const ServerCrash& crash);
/// Segments of all requests of a crash, each as often as it occurs. Thread
/// safe.
size_t CountSegments(const ServerCrash& crash);
/// Sorts the crashes by time and keeps the first of those that are so close
/// together that they may have one cause. Thread safe.
void KeepIndependent(std::vector<const ServerCrash*>* crashes);

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_CRASH_FEATURES_H_
