#include "citronlane/json/text_range.h"

namespace citronlane {
namespace {

constexpr std::string_view kSpace = " \t\r\n";
/// Behind a number, a word or a value's closing bracket.
constexpr std::string_view kAfterValue = " \t\r\n,]}";

bool IsAt(std::string_view text, size_t place, char expected) {
  return place < text.size() && text[place] == expected;
}

// Place behind the string whose opening quote is at `begin`.
std::optional<size_t> EndOfString(std::string_view text, size_t begin) {
  for (size_t i = begin + 1; i < text.size(); ++i) {
    if (text[i] == '\\') {
      ++i;
    } else if (text[i] == '"') {
      return i + 1;
    }
  }
  return std::nullopt;
}

// Place behind the array or object whose opening bracket is at `begin`.
std::optional<size_t> EndOfBrackets(std::string_view text, size_t begin) {
  size_t depth = 0;
  for (size_t i = begin; i < text.size(); ++i) {
    switch (text[i]) {
      case '"': {
        const auto end = EndOfString(text, i);
        if (!end) {
          return std::nullopt;
        }
        i = *end - 1;
        break;
      }
      case '/':
        return std::nullopt;
      case '[':
      case '{':
        ++depth;
        break;
      case ']':
      case '}':
        if (--depth == 0) {
          return i + 1;
        }
        break;
      default:
        break;
    }
  }
  return std::nullopt;
}

}  // namespace

size_t SkipSpace(std::string_view text, size_t begin) {
  const size_t place = text.find_first_not_of(kSpace, begin);
  return place == std::string_view::npos ? text.size() : place;
}

std::optional<TextRange> FindValue(std::string_view text, size_t begin) {
  if (begin >= text.size()) {
    return std::nullopt;
  }
  std::optional<size_t> end;
  if (text[begin] == '"') {
    end = EndOfString(text, begin);
  } else if (text[begin] == '[' || text[begin] == '{') {
    end = EndOfBrackets(text, begin);
  } else if (const size_t after = text.find_first_of(kAfterValue, begin);
             after != std::string_view::npos && after != begin) {
    end = after;
  }
  if (!end) {
    return std::nullopt;
  }
  return TextRange{begin, *end};
}

std::optional<TextRange> FindMember(std::string_view text,
                                    std::string_view name) {
  size_t place = SkipSpace(text, 0);
  if (!IsAt(text, place, '{')) {
    return std::nullopt;
  }
  std::optional<TextRange> found;
  do {
    const size_t begin = SkipSpace(text, place + 1);
    const auto key = FindValue(text, begin);
    if (!key || text[begin] != '"') {
      return std::nullopt;
    }
    place = SkipSpace(text, key->end_);
    if (!IsAt(text, place, ':')) {
      return std::nullopt;
    }
    const auto value = FindValue(text, SkipSpace(text, place + 1));
    if (!value) {
      return std::nullopt;
    }
    if (text.substr(begin + 1, key->end_ - begin - 2) == name) {
      if (found) {
        return std::nullopt;
      }
      found = value;
    }
    place = SkipSpace(text, value->end_);
  } while (IsAt(text, place, ','));
  if (!IsAt(text, place, '}')) {
    return std::nullopt;
  }
  return found;
}

}  // namespace citronlane
