#include "citronlane/fleet/document_patch.h"

#include <zstd.h>

#include <cstdint>
#include <memory>

namespace citronlane {
namespace {

/// Upper bound on a configuration's size; a frame that claims more is damaged.
constexpr uint64_t kMaxDocumentBytes = uint64_t{64} << 20;
/// Binary logarithm of a size in bytes: spans the largest document and its
/// base.
constexpr int kMaxWindowLog = 27;

using Compressor = std::unique_ptr<ZSTD_CCtx, size_t (*)(ZSTD_CCtx*)>;
using Decompressor = std::unique_ptr<ZSTD_DCtx, size_t (*)(ZSTD_DCtx*)>;

// Smallest window that reaches from the document's end back to the base's
// start.
int WindowLog(size_t bytes) {
  int log = ZSTD_cParam_getBounds(ZSTD_c_windowLog).lowerBound;
  while (log < kMaxWindowLog && (size_t{1} << log) < bytes) {
    ++log;
  }
  return log;
}

}  // namespace

std::optional<std::string> EncodeDocument(std::string_view document,
                                          std::string_view base,
                                          Error* error) {
  const Compressor context(ZSTD_createCCtx(), ZSTD_freeCCtx);
  ZSTD_CCtx* const zstd = context.get();
  ZSTD_CCtx_setParameter(zstd, ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_setParameter(zstd, ZSTD_c_windowLog,
                         WindowLog(document.size() + base.size()));
  ZSTD_CCtx_refPrefix(zstd, base.data(), base.size());
  std::string data(ZSTD_compressBound(document.size()), '\0');
  const size_t size = ZSTD_compress2(zstd, data.data(), data.size(),
                                     document.data(), document.size());
  if (ZSTD_isError(size) != 0) {
    error->message_ = ZSTD_getErrorName(size);
    return std::nullopt;
  }
  data.resize(size);
  data.shrink_to_fit();
  return data;
}

std::optional<std::string> DecodeDocument(std::string_view data,
                                          std::string_view base,
                                          Error* error) {
  const uint64_t size = ZSTD_getFrameContentSize(data.data(), data.size());
  if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR ||
      size > kMaxDocumentBytes) {
    error->message_ = "the data states no valid document size";
    return std::nullopt;
  }
  const Decompressor context(ZSTD_createDCtx(), ZSTD_freeDCtx);
  ZSTD_DCtx* const zstd = context.get();
  ZSTD_DCtx_setParameter(zstd, ZSTD_d_windowLogMax, kMaxWindowLog);
  ZSTD_DCtx_refPrefix(zstd, base.data(), base.size());
  std::string document(size, '\0');
  const size_t restored = ZSTD_decompressDCtx(
      zstd, document.data(), document.size(), data.data(), data.size());
  if (ZSTD_isError(restored) != 0) {
    error->message_ = ZSTD_getErrorName(restored);
    return std::nullopt;
  }
  return document;
}

}  // namespace citronlane
