#include "citronlane/storage/detail/record.h"

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>
#include <limits>

namespace citronlane {
namespace {

constexpr uint32_t kMagic = 0x314c5443;  // "CTL1"
constexpr size_t kCrcOffset = 4;
constexpr size_t kLengthOffset = 8;
constexpr size_t kKindOffset = 12;
constexpr size_t kFlagsOffset = 13;
constexpr size_t kBatchOffset = 16;
constexpr size_t kTermOffset = 24;
constexpr size_t kIndexOffset = 32;
constexpr uint8_t kEndsBatch = 1;

using Crc32c =
    boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true>;

template <typename Integer>
Integer Load(std::string_view data, size_t offset) {
  return boost::endian::endian_load<Integer, sizeof(Integer),
                                    boost::endian::order::little>(
      reinterpret_cast<const unsigned char*>(data.data()) + offset);
}

template <typename Integer>
void Save(Integer value, size_t offset, char* header) {
  boost::endian::endian_store<Integer, sizeof(Integer),
                              boost::endian::order::little>(
      reinterpret_cast<unsigned char*>(header) + offset, value);
}

uint32_t Checksum(std::string_view data) {
  Crc32c crc;
  crc.process_bytes(data.data(), data.size());
  return crc.checksum();
}

}  // namespace

void EncodeRecord(const Record& record, std::string* out) {
  const size_t begin = out->size();
  out->resize(begin + kRecordHeaderBytes);
  out->append(record.payload_);
  char* header = out->data() + begin;
  Save<uint32_t>(kMagic, 0, header);
  Save<uint32_t>(static_cast<uint32_t>(record.payload_.size()), kLengthOffset,
                 header);
  header[kKindOffset] = static_cast<char>(record.kind_);
  header[kFlagsOffset] = static_cast<char>(record.ends_batch_ ? kEndsBatch : 0);
  Save<uint64_t>(record.batch_, kBatchOffset, header);
  Save<uint64_t>(record.term_, kTermOffset, header);
  Save<uint64_t>(record.index_, kIndexOffset, header);
  const std::string_view encoded = *out;
  Save<uint32_t>(Checksum(encoded.substr(begin + kLengthOffset)), kCrcOffset,
                 header);
}

std::optional<Record> DecodeRecord(std::string_view data, size_t* size) {
  if (data.size() < kRecordHeaderBytes || Load<uint32_t>(data, 0) != kMagic) {
    return std::nullopt;
  }
  const size_t length = Load<uint32_t>(data, kLengthOffset);
  if (data.size() - kRecordHeaderBytes < length) {
    return std::nullopt;
  }
  const std::string_view covered =
      data.substr(kLengthOffset, kRecordHeaderBytes - kLengthOffset + length);
  if (Checksum(covered) != Load<uint32_t>(data, kCrcOffset)) {
    return std::nullopt;
  }
  Record record;
  record.kind_ = static_cast<RecordKind>(data[kKindOffset]);
  record.ends_batch_ = (data[kFlagsOffset] & kEndsBatch) != 0;
  record.batch_ = Load<uint64_t>(data, kBatchOffset);
  record.term_ = Load<uint64_t>(data, kTermOffset);
  record.index_ = Load<uint64_t>(data, kIndexOffset);
  record.payload_ = data.substr(kRecordHeaderBytes, length);
  *size = kRecordHeaderBytes + length;
  return record;
}

size_t FindRecord(std::string_view data, size_t from) {
  char magic[sizeof(kMagic)];
  Save<uint32_t>(kMagic, 0, magic);
  return data.find(std::string_view(magic, sizeof(magic)), from);
}

}  // namespace citronlane
