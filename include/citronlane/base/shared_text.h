#ifndef CITRONLANE_BASE_SHARED_TEXT_H_
#define CITRONLANE_BASE_SHARED_TEXT_H_

#include <cstddef>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace citronlane {

/// Immutable text that its copies share: a copy takes no memory of its own.
/// Thread safe like std::shared_ptr.
class SharedText {
 public:
  SharedText() = default;
  // Implicit, so that it can replace a std::string.
  // NOLINTNEXTLINE(google-explicit-constructor)
  SharedText(std::string text)
      : text_(std::make_shared<const std::string>(std::move(text))) {}
  // NOLINTNEXTLINE(google-explicit-constructor)
  SharedText(const char* text) : SharedText(std::string(text)) {}

  /// Valid as long as a copy of this object exists.
  std::string_view view() const {
    if (text_ == nullptr) {
      return {};
    }
    return *text_;
  }
  // NOLINTNEXTLINE(google-explicit-constructor)
  operator std::string_view() const { return view(); }
  size_t size() const { return view().size(); }
  bool empty() const { return view().empty(); }

 private:
  std::shared_ptr<const std::string> text_;
};

inline bool operator==(const SharedText& left, std::string_view right) {
  return left.view() == right;
}

inline std::ostream& operator<<(std::ostream& out, const SharedText& text) {
  return out << text.view();
}

}  // namespace citronlane

#endif  // CITRONLANE_BASE_SHARED_TEXT_H_
