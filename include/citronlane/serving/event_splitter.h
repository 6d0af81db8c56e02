#ifndef CITRONLANE_SERVING_EVENT_SPLITTER_H_
#define CITRONLANE_SERVING_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citronlane {

/// Splits an event stream (text/event-stream) into complete events and checks
/// their numbers, so that a broken stream can be continued on another server
/// without a gap or a repeat. It does not interpret the events' data. Pure: no
/// I/O. Not thread safe.
class EventSplitter {
 public:
  enum class FeedResult {
    kGood,
    /// An event's number is not the previous number plus one.
    kOutOfOrder,
    /// A partly received event exceeds the size limit.
    kTooLarge,
  };

  /// `last_event` is the number of the last event that the caller has, if any.
  explicit EventSplitter(std::optional<uint64_t> last_event);

  /// Takes bytes of the stream and appends the events that are now complete to
  /// `complete`, unchanged. After any result but kGood, call DropPartial()
  /// before bytes of a continuation are fed.
  FeedResult Feed(std::string_view bytes, std::string* complete);

  /// Discards a partly received event; call before the stream is continued.
  void DropPartial() { partial_.clear(); }

  bool has_partial() const { return !partial_.empty(); }
  size_t partial_bytes() const { return partial_.size(); }
  /// Number of the last complete event; nothing when there was none.
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
