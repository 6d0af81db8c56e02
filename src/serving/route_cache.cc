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
  std::vector<CachedRoute> cached;
  array.routes_.reserve(cached_.size());
  cached.reserve(cached_.size());
  size_t expected = 0;
  size_t position = SkipSpace(text, 1);
  bool is_over = position < text.size() && text[position] == ']';
  while (!is_over) {
    const CachedRoute* same = FindAt(text, position, expected);
    std::string_view element;
    if (same != nullptr) {
      element = text.substr(position, same->text_.size());
    } else {
      const auto range = FindValue(text, position);
      if (!range) {
        return std::nullopt;
      }
      element = text.substr(position, range->end_ - position);
      same = FindByText(element);
    }
    std::shared_ptr<const Route> route;
    if (same != nullptr) {
      expected = static_cast<size_t>(same - cached_.data()) + 1;
      route = same->route_;
    } else {
      auto read = read_(element);
      if (!read) {
        return std::nullopt;
      }
      route = std::make_shared<const Route>(std::move(*read));
    }
    array.routes_.push_back(route);
    cached.push_back({element, std::move(route)});
    position = SkipSpace(text, position + element.size());
    if (position >= text.size() ||
        (text[position] != ',' && text[position] != ']')) {
      return std::nullopt;
    }
    is_over = text[position] == ']';
    position = is_over ? position : SkipSpace(text, position + 1);
  }
  array.end_ = position + 1;
  Store(text.substr(0, array.end_), std::move(cached));
  return array;
}

// Most elements still follow the element that preceded them in the last array.
const RouteCache::CachedRoute* RouteCache::FindAt(std::string_view array,
                                                  size_t begin,
                                                  size_t expected) const {
  if (expected >= cached_.size()) {
    return nullptr;
  }
  const std::string_view text = cached_[expected].text_;
  return array.compare(begin, text.size(), text) == 0 ? &cached_[expected]
                                                      : nullptr;
}

const RouteCache::CachedRoute* RouteCache::FindByText(std::string_view text) {
  if (by_text_.empty()) {
    by_text_.reserve(cached_.size());
    for (size_t i = 0; i < cached_.size(); ++i) {
      by_text_.emplace(cached_[i].text_, i);
    }
  }
  const auto found = by_text_.find(text);
  return found == by_text_.end() ? nullptr : &cached_[found->second];
}

// Makes the texts point into the copy in place of the caller's array.
void RouteCache::Store(std::string_view array,
                       std::vector<CachedRoute> cached) {
  by_text_.clear();
  array_ = array;
  cached_ = std::move(cached);
  const std::string_view kept = array_;
  for (CachedRoute& entry : cached_) {
    const auto offset = static_cast<size_t>(entry.text_.data() - array.data());
    entry.text_ = kept.substr(offset, entry.text_.size());
  }
}

}  // namespace citronlane
