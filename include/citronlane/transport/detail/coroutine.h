#ifndef CITRONLANE_TRANSPORT_DETAIL_COROUTINE_H_
#define CITRONLANE_TRANSPORT_DETAIL_COROUTINE_H_

#include <cstddef>

#include <boost/coroutine/attributes.hpp>

namespace citronlane::detail {

/// Stack size of one coroutine. Only pages that are used occupy memory.
constexpr size_t kCoroutineStackBytes = size_t{96} * 1024;

inline boost::coroutines::attributes CoroutineAttributes() {
  return boost::coroutines::attributes(kCoroutineStackBytes);
}

}  // namespace citronlane::detail

#endif  // CITRONLANE_TRANSPORT_DETAIL_COROUTINE_H_
