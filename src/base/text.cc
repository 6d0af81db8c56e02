#include "citronlane/base/text.h"

#include <algorithm>

namespace citronlane {
namespace {

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

std::string_view Stripped(std::string_view text) {
  constexpr std::string_view kSpace = " \t";
  const size_t begin = text.find_first_not_of(kSpace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kSpace) - begin + 1);
}

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> fields;
  while (true) {
    const size_t end = text.find(separator);
    fields.push_back(Stripped(text.substr(0, end)));
    if (end == std::string_view::npos) {
      return fields;
    }
    text.remove_prefix(end + 1);
  }
}

}  // namespace citronlane
