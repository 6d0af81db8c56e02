#ifndef CITRONLANE_TESTS_SUPPORT_ROUTE_DOCUMENT_H_
#define CITRONLANE_TESTS_SUPPORT_ROUTE_DOCUMENT_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace citronlane {

/// Returns a configuration document with random names that do not repeat.
/// Documents with the same number of routes differ only in their version.
inline std::string RouteDocument(uint64_t version, size_t routes) {
  std::minstd_rand random(1);
  std::string document =
      "{\"version\":" + std::to_string(version) + ",\"routes\":[";
  for (size_t i = 0; i < routes; ++i) {
    document += i == 0 ? "{" : ",{";
    document += "\"name\":\"r-" + std::to_string(random()) +
                "\",\"hostname\":\"h" + std::to_string(random()) +
                ".example\",\"path_prefix\":\"/p" + std::to_string(random()) +
                "/\",\"kind\":\"safe\",\"timeout_ms\":1500,"
                "\"target_latency_ms\":300,\"priority\":2,"
                "\"service\":\"orders\",\"max_attempts\":2}";
  }
  document += "],\"services\":[{\"name\":\"orders\"}]}";
  return document;
}

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_ROUTE_DOCUMENT_H_
