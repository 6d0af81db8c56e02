#ifndef CITRONLANE_FLEET_DOCUMENT_PATCH_H_
#define CITRONLANE_FLEET_DOCUMENT_PATCH_H_

#include <optional>
#include <string>
#include <string_view>

#include "citronlane/base/error.h"

namespace citronlane {

/// Compresses a document for receivers that hold `base`: what the two have in
/// common costs next to nothing. An empty base makes it readable for everybody.
/// Thread safe.
std::optional<std::string> EncodeDocument(std::string_view document,
                                          std::string_view base,
                                          Error* error);

/// Restores what EncodeDocument made against the same base. Another base, or
/// damaged data, is an error: the data holds the document's checksum. Thread
/// safe.
std::optional<std::string> DecodeDocument(std::string_view data,
                                          std::string_view base,
                                          Error* error);

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_DOCUMENT_PATCH_H_
