#ifndef CITRONLANE_SERVING_STREAM_ORIGIN_H_
#define CITRONLANE_SERVING_STREAM_ORIGIN_H_

#include <string>

namespace citronlane {

/// What began a stream: the service and the software version of the backend
/// server that sent its first event. Only servers of that version may continue
/// it.
struct StreamOrigin {
  std::string service_;
  /// As in BackendServer::version_; empty when the platform names none.
  std::string version_;

  bool operator==(const StreamOrigin& other) const {
    return service_ == other.service_ && version_ == other.version_;
  }
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_STREAM_ORIGIN_H_
