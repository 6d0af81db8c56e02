#ifndef CITRONLANE_ROUTING_CALL_PRIORITY_H_
#define CITRONLANE_ROUTING_CALL_PRIORITY_H_

#include <cstddef>
#include <cstdint>

namespace citronlane {

struct ClassConfig;

/// Number of priorities: 0 to kCallPriorities - 1.
constexpr size_t kCallPriorities = 3;

/// Priority of a class's calls at an engine, derived from its target: classes
/// that wait for a first token come first (0), batch work last (2). Thread
/// safe.
uint32_t CallPriority(const ClassConfig& config);

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_CALL_PRIORITY_H_
