#ifndef CITRONLANE_TESTS_FAKES_CONTENT_H_
#define CITRONLANE_TESTS_FAKES_CONTENT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace citronlane::fakes {

/// Content of the fakes' replies. It depends on the caller's text only, so that
/// a caller can verify that its response is complete and its own, and a fake
/// that all of its inputs belong to one request. All functions are pure.

/// Returns the first eight hexadecimal digits of the SHA-256 digest of
/// "<text>/<label>/<index>".
std::string Digest(std::string_view text, std::string_view label, size_t index);

/// Returns token `index` of the engine's reply, with a trailing space.
std::string TokenOf(std::string_view question, size_t index);

/// Returns tokens 0 to `count` - 1, concatenated.
std::string TokensOf(std::string_view question, size_t count);

/// Returns the text of the retriever's document `index`.
std::string DocumentOf(std::string_view query, size_t index);

/// Returns whether the document belongs to the query.
bool IsDocumentOf(std::string_view query, std::string_view document);

/// Returns the embedding of the text: numbers with three decimals.
std::vector<double> EmbeddingOf(std::string_view text);

/// Returns the text after the last "Question: " in an engine's prompt.
std::string QuestionOf(std::string_view prompt);

/// Returns whether all context lines of the prompt are documents of its
/// question.
bool ContextMatches(std::string_view prompt);

}  // namespace citronlane::fakes

#endif  // CITRONLANE_TESTS_FAKES_CONTENT_H_
