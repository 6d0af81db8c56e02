#ifndef CITRONLANE_TESTS_FAKES_ANSWERS_H_
#define CITRONLANE_TESTS_FAKES_ANSWERS_H_

#include <string>
#include <string_view>

#include "fakes/json.h"
#include "fakes/server_spec.h"

namespace citronlane::fakes {

/// The caller's text that a call of this kind of server is for.
std::string TextOf(std::string_view kind,
                   const JsonView& body,
                   std::string_view raw);

/// Whether the inputs of the call belong to different requests.
bool IsMixed(std::string_view kind, const JsonView& body);

/// Body of the reply of every kind but the engine.
std::string AnswerOf(const ServerSpec& spec,
                     const JsonView& body,
                     std::string_view raw);

}  // namespace citronlane::fakes

#endif  // CITRONLANE_TESTS_FAKES_ANSWERS_H_
