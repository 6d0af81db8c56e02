#ifndef CITRONLANE_RELAY_POOL_PARTITION_CODEC_H_
#define CITRONLANE_RELAY_POOL_PARTITION_CODEC_H_

#include "citronlane/fleet/pool_partition.h"

namespace citronlane {

/// Reads the partition that a message between gateways refers to. Thread safe.
template <typename Message>
PoolPartition DecodePartition(const Message& message) {
  return {message.service(), message.part_domain()};
}

/// Writes the partition that a message between gateways refers to. Thread safe.
template <typename Message>
void EncodePartition(const PoolPartition& partition, Message* message) {
  message->set_service(partition.service_);
  message->set_part_domain(partition.failure_domain_);
}

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_POOL_PARTITION_CODEC_H_
