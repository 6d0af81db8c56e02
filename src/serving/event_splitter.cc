#include "citronlane/serving/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace citronlane {
namespace {

constexpr size_t kMaxEventBytes = size_t{1} << 20;

// Offset behind the blank line of the first complete event; npos when there is
// none.
size_t EndOfEvent(std::string_view text) {
  const size_t plain = text.find("\n\n");
  const size_t carriage = text.find("\r\n\r\n");
  const size_t plain_end = plain == std::string_view::npos ? plain : plain + 2;
  const size_t carriage_end =
      carriage == std::string_view::npos ? carriage : carriage + 4;
  return std::min(plain_end, carriage_end);
}

std::optional<uint64_t> NumberOf(std::string_view event) {
  constexpr std::string_view kField = "id:";
  size_t begin = 0;
  while (begin < event.size()) {
    const size_t end = std::min(event.find('\n', begin), event.size());
    std::string_view line = event.substr(begin, end - begin);
    begin = end + 1;
    if (line.substr(0, kField.size()) != kField) {
      continue;
    }
    line.remove_prefix(kField.size());
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    uint64_t number = 0;
    const auto parsed =
        std::from_chars(line.data(), line.data() + line.size(), number);
    if (parsed.ec == std::errc()) {
      return number;
    }
  }
  return std::nullopt;
}

}  // namespace

EventSplitter::EventSplitter(std::optional<uint64_t> last_event)
    : last_event_(last_event) {}

EventSplitter::FeedResult EventSplitter::Feed(std::string_view bytes,
                                              std::string* complete) {
  partial_.append(bytes);
  size_t begin = 0;
  FeedResult result = FeedResult::kGood;
  while (true) {
    const std::string_view all = partial_;
    const std::string_view rest = all.substr(begin);
    const size_t size = EndOfEvent(rest);
    if (size == std::string_view::npos) {
      break;
    }
    const std::string_view event = rest.substr(0, size);
    if (!Follows(event)) {
      result = FeedResult::kOutOfOrder;
      break;
    }
    complete->append(event);
    ++events_;
    begin += size;
  }
  partial_.erase(0, begin);
  if (result == FeedResult::kGood && partial_.size() > kMaxEventBytes) {
    result = FeedResult::kTooLarge;
  }
  return result;
}

// An event without a number cannot be out of order.
bool EventSplitter::Follows(std::string_view event) {
  const auto number = NumberOf(event);
  if (!number) {
    return true;
  }
  if (last_event_ && *number != *last_event_ + 1) {
    return false;
  }
  last_event_ = number;
  return true;
}

}  // namespace citronlane
