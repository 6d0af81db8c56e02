#include "fakes/content.h"

#include <openssl/sha.h>

#include <array>

namespace citronlane::fakes {
namespace {

constexpr size_t kDigestBytes = 4;
constexpr size_t kEmbeddingSize = 8;
constexpr size_t kMostDocuments = 64;
constexpr std::string_view kQuestionMark = "Question: ";
constexpr std::string_view kContextMark = "Context:\n";

std::array<unsigned char, SHA256_DIGEST_LENGTH> Hash(std::string_view text,
                                                     std::string_view label,
                                                     size_t index) {
  std::string input(text);
  input.append("/").append(label).append("/").append(std::to_string(index));
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(input.data()), input.size(),
         digest.data());
  return digest;
}

}  // namespace

std::string Digest(std::string_view text,
                   std::string_view label,
                   size_t index) {
  constexpr std::string_view kHex = "0123456789abcdef";
  const auto hash = Hash(text, label, index);
  std::string result;
  for (size_t i = 0; i < kDigestBytes; ++i) {
    result += kHex[hash[i] >> 4U];
    result += kHex[hash[i] & 0xFU];
  }
  return result;
}

std::string TokenOf(std::string_view question, size_t index) {
  return Digest(question, "token", index) + " ";
}

std::string TokensOf(std::string_view question, size_t count) {
  std::string result;
  for (size_t i = 0; i < count; ++i) {
    result += TokenOf(question, i);
  }
  return result;
}

std::string DocumentOf(std::string_view query, size_t index) {
  return "document " + std::to_string(index) + " " +
         Digest(query, "document", index);
}

bool IsDocumentOf(std::string_view query, std::string_view document) {
  for (size_t i = 0; i < kMostDocuments; ++i) {
    if (document == DocumentOf(query, i)) {
      return true;
    }
  }
  return false;
}

std::vector<double> EmbeddingOf(std::string_view text) {
  constexpr double kSteps = 256;
  const auto hash = Hash(text, "embedding", 0);
  std::vector<double> result;
  for (size_t i = 0; i < kEmbeddingSize; ++i) {
    result.push_back(hash[i] / kSteps);
  }
  return result;
}

std::string QuestionOf(std::string_view prompt) {
  const size_t mark = prompt.rfind(kQuestionMark);
  if (mark != std::string_view::npos) {
    prompt.remove_prefix(mark + kQuestionMark.size());
  }
  if (!prompt.empty() && prompt.back() == '\n') {
    prompt.remove_suffix(1);
  }
  return std::string(prompt);
}

bool ContextMatches(std::string_view prompt) {
  const std::string question = QuestionOf(prompt);
  const size_t end = prompt.rfind(kQuestionMark);
  if (end == std::string_view::npos) {
    return true;
  }
  std::string_view context = prompt.substr(0, end);
  if (context.substr(0, kContextMark.size()) == kContextMark) {
    context.remove_prefix(kContextMark.size());
  }
  while (!context.empty()) {
    const std::string_view line = context.substr(0, context.find('\n'));
    if (!line.empty() && !IsDocumentOf(question, line)) {
      return false;
    }
    context.remove_prefix(std::min(context.size(), line.size() + 1));
  }
  return true;
}

}  // namespace citronlane::fakes
