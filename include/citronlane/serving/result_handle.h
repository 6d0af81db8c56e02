#ifndef CITRONLANE_SERVING_RESULT_HANDLE_H_
#define CITRONLANE_SERVING_RESULT_HANDLE_H_

#include <string_view>

namespace citronlane {

/// Address of the server that produced and keeps a stage result, with which the
/// result's handle begins. The view points into `handle`. Thread safe.
inline std::string_view ProducerAddress(std::string_view handle) {
  return handle.substr(0, handle.find('/'));
}

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_RESULT_HANDLE_H_
