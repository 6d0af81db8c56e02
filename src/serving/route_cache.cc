#include "citronlane/serving/route_cache.h"

#include <utility>

#include "citronlane/json/text_range.h"

namespace citronlane {

RouteCache::RouteCache(ReadHook read) : read_(std::move(read)) {}

std::optional<RouteCache::Array> RouteCache::Read(std::string_view text) {
  if (text.empty() || text.front() != '[') {
    return std::nullopt;
  }
  Array array;
  std::vector<Known> known;
  array.routes_.reserve(known_.size());
  known.reserve(known_.size());
  size_t expected = 0;
  size_t place = SkipSpace(text, 1);
  bool is_over = place < text.size() && text[place] == ']';
  while (!is_over) {
    const Known* same = FindAt(text, place, expected);
    std::string_view element;
    if (same != nullptr) {
      element = text.substr(place, same->text_.size());
    } else {
      const auto range = FindValue(text, place);
      if (!range) {
        return std::nullopt;
      }
      element = text.substr(place, range->end_ - place);
      same = FindByText(element);
    }
    std::shared_ptr<const Route> route;
    if (same != nullptr) {
      expected = static_cast<size_t>(same - known_.data()) + 1;
      route = same->route_;
    } else {
      auto read = read_(element);
      if (!read) {
        return std::nullopt;
      }
      route = std::make_shared<const Route>(std::move(*read));
    }
    array.routes_.push_back(route);
    known.push_back({element, std::move(route)});
    place = SkipSpace(text, place + element.size());
    if (place >= text.size() || (text[place] != ',' && text[place] != ']')) {
      return std::nullopt;
    }
    is_over = text[place] == ']';
    place = is_over ? place : SkipSpace(text, place + 1);
  }
  array.end_ = place + 1;
  Keep(text.substr(0, array.end_), std::move(known));
  return array;
}

// Most elements stand where they stood, behind the one that came before them.
const RouteCache::Known* RouteCache::FindAt(std::string_view array,
                                            size_t begin,
                                            size_t expected) const {
  if (expected >= known_.size()) {
    return nullptr;
  }
  const std::string_view text = known_[expected].text_;
  return array.compare(begin, text.size(), text) == 0 ? &known_[expected]
                                                      : nullptr;
}

const RouteCache::Known* RouteCache::FindByText(std::string_view text) {
  if (by_text_.empty()) {
    by_text_.reserve(known_.size());
    for (size_t i = 0; i < known_.size(); ++i) {
      by_text_.emplace(known_[i].text_, i);
    }
  }
  const auto found = by_text_.find(text);
  return found == by_text_.end() ? nullptr : &known_[found->second];
}

// The texts move from the caller's array to the copy of it.
void RouteCache::Keep(std::string_view array, std::vector<Known> known) {
  by_text_.clear();
  array_ = array;
  known_ = std::move(known);
  const std::string_view kept = array_;
  for (Known& entry : known_) {
    const auto offset = static_cast<size_t>(entry.text_.data() - array.data());
    entry.text_ = kept.substr(offset, entry.text_.size());
  }
}

}  // namespace citronlane
