#ifndef CITRONLANE_SERVING_EVENT_SPLITTER_H_
#define CITRONLANE_SERVING_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citronlane {

/// Cuts an event stream (text/event-stream) into whole events and follows their
/// numbers, so that a stream that broke can go on elsewhere without a gap or a
/// repeat. Pure. Not thread safe.
class EventSplitter {
 public:
  enum class Taken {
    kGood,
    /// An event's number does not follow the one before.
    kOutOfOrder,
    /// An event is larger than any that a server sends.
    kTooLarge,
  };

  /// `last_event`: number of the last event that the caller has, if any.
  explicit EventSplitter(std::optional<uint64_t> last_event);

  /// Takes bytes of the stream and appends the whole events among them to
  /// `whole`, as they came.
  Taken Feed(std::string_view bytes, std::string* whole);

  /// Forgets an event of which only a part came: the stream goes on elsewhere.
  void DropPartial() { partial_.clear(); }

  bool has_partial() const { return !partial_.empty(); }
  /// Number of the last whole event.
  std::optional<uint64_t> last_event() const { return last_event_; }
  uint64_t events() const { return events_; }

 private:
  bool Follows(std::string_view event);

  std::string partial_;
  std::optional<uint64_t> last_event_;
  uint64_t events_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_EVENT_SPLITTER_H_
