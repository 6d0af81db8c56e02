#include "citronlane/net/server_call_spec.h"

#include <utility>

#include "citronlane/net/endpoint.h"

namespace citronlane {

StageCallSpec SpecFor(std::string_view address,
                      std::string_view method,
                      std::string target,
                      TimePoint deadline) {
  StageCallSpec spec;
  // Without a valid address the call fails to connect, as to an address without
  // a listener.
  if (const auto endpoint = ParseEndpoint(address)) {
    spec.address_ = endpoint->address().to_string();
    spec.port_ = endpoint->port();
  }
  spec.method_ = method;
  spec.target_ = std::move(target);
  spec.deadline_ = deadline;
  return spec;
}

}  // namespace citronlane
