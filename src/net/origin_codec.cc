#include "citronlane/net/origin_codec.h"

#include "fleet.pb.h"

namespace citronlane {
namespace {

using wire::fleet::Frame;

constexpr int kStreamsPerFrame = 4096;

}  // namespace

std::vector<Frame> EncodeOrigins(const StreamGroups& streams, bool is_copy) {
  std::vector<Frame> frames;
  int in_last = kStreamsPerFrame;
  for (const auto& [origin, keys] : streams) {
    wire::fleet::StreamOrigin* entry = nullptr;
    for (const uint64_t key : keys) {
      if (in_last == kStreamsPerFrame) {
        frames.emplace_back().mutable_stream_origins()->set_is_copy(is_copy);
        in_last = 0;
        entry = nullptr;
      }
      if (entry == nullptr) {
        entry = frames.back().mutable_stream_origins()->add_origins();
        entry->set_service(origin.first);
        entry->set_version(origin.second);
      }
      entry->add_streams(key);
      ++in_last;
    }
  }
  return frames;
}

}  // namespace citronlane
