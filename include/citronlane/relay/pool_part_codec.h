#ifndef CITRONLANE_RELAY_POOL_PART_CODEC_H_
#define CITRONLANE_RELAY_POOL_PART_CODEC_H_

#include "citronlane/fleet/pool_part.h"

namespace citronlane {

/// The part that a message between gateways is for. Thread safe.
template <typename Message>
PoolPart PartNamedBy(const Message& message) {
  return {message.service(), message.part_domain()};
}

/// Writes it. Thread safe.
template <typename Message>
void NamePart(const PoolPart& part, Message* message) {
  message->set_service(part.service_);
  message->set_part_domain(part.failure_domain_);
}

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_POOL_PART_CODEC_H_
