#ifndef CITRONLANE_TESTS_FAKES_CONTENT_H_
#define CITRONLANE_TESTS_FAKES_CONTENT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace citronlane::fakes {

/// What the fakes answer follows from the caller's text alone, so that a
/// caller can tell that an answer is whole and its own, and each fake can tell
/// that its inputs belong to one request. All functions are pure.

/// First eight hexadecimal digits of SHA-256 of "<text>/<label>/<index>".
std::string Digest(std::string_view text, std::string_view label, size_t index);

/// Token `index` of the engine's answer, with a trailing space.
std::string TokenOf(std::string_view question, size_t index);

/// Tokens 0 to `count` - 1 in a row.
std::string TokensOf(std::string_view question, size_t count);

/// Text of the retriever's document `index`.
std::string DocumentOf(std::string_view query, size_t index);

/// Whether the document is one of those of the query.
bool IsDocumentOf(std::string_view query, std::string_view document);

/// Embedding of the text: numbers of three decimals.
std::vector<double> EmbeddingOf(std::string_view text);

/// Text after the last "Question: " of an engine's prompt.
std::string QuestionOf(std::string_view prompt);

/// Whether each context line of the prompt is a document of its question.
bool ContextMatches(std::string_view prompt);

}  // namespace citronlane::fakes

#endif  // CITRONLANE_TESTS_FAKES_CONTENT_H_
