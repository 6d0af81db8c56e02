#ifndef CITRONLANE_FLEET_DOCUMENT_PATCH_H_
#define CITRONLANE_FLEET_DOCUMENT_PATCH_H_

#include <optional>
#include <string>
#include <string_view>

#include "citronlane/base/error.h"

namespace citronlane {

/// Compresses a document against `base`, for receivers that hold `base`:
/// content that both have in common takes almost no space. With an empty base
/// every receiver can decode the result. Returns nothing with the reason in
/// `error` when compression fails. Thread safe.
std::optional<std::string> EncodeDocument(std::string_view document,
                                          std::string_view base,
                                          Error* error);

/// Restores a document from the output of EncodeDocument() with the same base.
/// Returns nothing with the reason in `error` for another base or damaged data,
/// which the embedded checksum detects. Thread safe.
std::optional<std::string> DecodeDocument(std::string_view data,
                                          std::string_view base,
                                          Error* error);

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_DOCUMENT_PATCH_H_
