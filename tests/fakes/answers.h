#ifndef CITRONLANE_TESTS_FAKES_ANSWERS_H_
#define CITRONLANE_TESTS_FAKES_ANSWERS_H_

#include <string>
#include <string_view>

#include "fakes/json.h"
#include "fakes/server_spec.h"

namespace citronlane::fakes {

/// Returns the caller's text for which a server of this kind is called. `raw`
/// is the unparsed body.
std::string TextOf(std::string_view kind,
                   const JsonView& body,
                   std::string_view raw);

/// Returns whether the inputs of the call belong to different requests.
bool IsMixed(std::string_view kind, const JsonView& body);

/// Returns the body of the reply for all kinds but the engine.
std::string ReplyBody(const ServerSpec& spec,
                      const JsonView& body,
                      std::string_view raw);

}  // namespace citronlane::fakes

#endif  // CITRONLANE_TESTS_FAKES_ANSWERS_H_
