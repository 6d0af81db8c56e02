#include "citronlane/serving/request_fingerprint.h"

#include "citronlane/base/sha256.h"

namespace citronlane {
namespace {

/// 128 bits: no two requests are expected to collide.
constexpr size_t kDigestDigits = 32;

// The length keeps adjacent fields apart.
void AppendField(std::string_view field, std::string* text) {
  *text += std::to_string(field.size());
  *text += ':';
  *text += field;
}

}  // namespace

RequestFingerprint FingerprintOf(std::string_view method,
                                 std::string_view host,
                                 std::string_view target,
                                 std::string_view account,
                                 std::string_view body) {
  std::string text;
  AppendField(method, &text);
  AppendField(host, &text);
  AppendField(target, &text);
  AppendField(account, &text);
  // The body is hashed by itself so that it need not be copied.
  AppendField(Sha256Hex(body), &text);
  return {Sha256Hex(text).substr(0, kDigestDigits), body.size(), {}, false};
}

RequestFeature ContentFeature(const RequestFingerprint& request) {
  return {request.digest_, request.body_bytes_, RequestFeature::Kind::kContent};
}

RequestFeature SegmentFeature(std::string_view segment) {
  return {std::string(segment), 0, RequestFeature::Kind::kPromptSegment};
}

}  // namespace citronlane
