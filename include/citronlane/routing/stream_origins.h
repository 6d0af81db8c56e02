#ifndef CITRONLANE_ROUTING_STREAM_ORIGINS_H_
#define CITRONLANE_ROUTING_STREAM_ORIGINS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "citronlane/base/time.h"
#include "citronlane/serving/stream_origin.h"

namespace citronlane {

/// Remembers what began each stream for some time. Streams are kept in two
/// generations: after `keep` the younger one becomes the older one, and the
/// older one is forgotten. An entry takes 17 bytes of a hash table. Pure: no
/// I/O, no clock; `now` must not decrease. Not thread safe.
class StreamOrigins {
 public:
  /// Key of the stream that the caller's attempt with this id began. The same
  /// in all processes.
  static uint64_t KeyOf(std::string_view request_id);

  /// A stream is remembered for `keep` to twice `keep` after it was last
  /// recorded, or less when more than `max_streams` are recorded within `keep`.
  /// Both must be above 0.
  StreamOrigins(Duration keep, size_t max_streams);

  /// Records what began a stream. A stream that is known keeps its first origin
  /// and is remembered longer. Returns whether it was not known.
  bool Record(uint64_t stream, const StreamOrigin& origin, TimePoint now);
  /// What began the stream; nothing when it is not known.
  std::optional<StreamOrigin> Find(uint64_t stream, TimePoint now);
  /// Calls `visit` for each stream remembered, in no particular order. It must
  /// not change this object.
  void ForEach(
      const std::function<void(uint64_t, const StreamOrigin&)>& visit) const;
  size_t size() const;
  /// Number of streams that were forgotten before their time because there were
  /// more than `max_streams`.
  uint64_t forgotten_early() const { return forgotten_early_; }

 private:
  struct Generation {
    /// Index in `origins_` by stream.
    absl::flat_hash_map<uint64_t, uint32_t> streams_;
    /// Different origins of these streams: few, since services run one or two
    /// versions.
    std::vector<StreamOrigin> origins_;
    uint32_t last_used_ = 0;

    uint32_t IndexOf(const StreamOrigin& origin);
  };

  void Expire(TimePoint now);
  void Rotate(TimePoint now);
  void Add(uint64_t stream, const StreamOrigin& origin, TimePoint now);

  const Duration keep_;
  const size_t max_streams_;
  Generation younger_;
  Generation older_;
  /// When the younger generation began; nothing before the first record.
  std::optional<TimePoint> began_;
  uint64_t forgotten_early_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_STREAM_ORIGINS_H_
