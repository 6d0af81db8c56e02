#include "citronlane/json/text_range.h"

namespace citronlane {
namespace {

constexpr std::string_view kSpace = " \t\r\n";
/// Characters that end a number or a literal.
constexpr std::string_view kAfterValue = " \t\r\n,]}";

bool IsAt(std::string_view text, size_t place, char expected) {
  return place < text.size() && text[place] == expected;
}

// Returns the position after the string whose opening quote is at `begin`.
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

// Returns the position after the array or object whose opening bracket is at
// `begin`.
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

struct Member {
  std::string_view key_;
  /// Position at which the member's value begins.
  size_t value_begin_ = 0;
};

// Reads the key that is the next token from `begin` on.
std::optional<Member> ReadKey(std::string_view text, size_t begin) {
  const size_t quote = SkipSpace(text, begin);
  const auto end =
      IsAt(text, quote, '"') ? EndOfString(text, quote) : std::nullopt;
  const size_t colon = end ? SkipSpace(text, *end) : text.size();
  if (!IsAt(text, colon, ':')) {
    return std::nullopt;
  }
  return Member{text.substr(quote + 1, *end - quote - 2),
                SkipSpace(text, colon + 1)};
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

std::optional<size_t> FindMemberBegin(std::string_view text,
                                      std::string_view name) {
  size_t place = SkipSpace(text, 0);
  if (!IsAt(text, place, '{')) {
    return std::nullopt;
  }
  do {
    const auto member = ReadKey(text, place + 1);
    if (!member || member->key_ == name) {
      return member ? std::optional(member->value_begin_) : std::nullopt;
    }
    const auto value = FindValue(text, member->value_begin_);
    if (!value) {
      return std::nullopt;
    }
    place = SkipSpace(text, value->end_);
  } while (IsAt(text, place, ','));
  return std::nullopt;
}

std::optional<TextRange> FindMember(std::string_view text,
                                    std::string_view name) {
  size_t place = SkipSpace(text, 0);
  if (!IsAt(text, place, '{')) {
    return std::nullopt;
  }
  std::optional<TextRange> found;
  do {
    const auto member = ReadKey(text, place + 1);
    const auto value =
        member ? FindValue(text, member->value_begin_) : std::nullopt;
    if (!value) {
      return std::nullopt;
    }
    if (member->key_ == name) {
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
