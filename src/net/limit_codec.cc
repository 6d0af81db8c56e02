#include "citronlane/net/limit_codec.h"

#include "citronlane/net/fleet_codec.h"
#include "fleet.pb.h"

namespace citronlane {

void EncodeLimit(const ServerLimit& limit,
                 TimePoint now,
                 wire::fleet::ServerLimit* out) {
  out->set_server(limit.server_);
  out->set_is_limited(limit.per_second_.has_value());
  out->set_per_second(limit.per_second_.value_or(0));
  out->set_is_brittle(limit.max_refusals_.has_value());
  out->set_max_refusals(limit.max_refusals_.value_or(0));
  out->set_age_ms(InMilliseconds(now - limit.at_));
}

ServerLimit DecodeLimit(const wire::fleet::ServerLimit& in, TimePoint now) {
  ServerLimit limit;
  limit.server_ = in.server();
  if (in.is_limited()) {
    limit.per_second_ = in.per_second();
  }
  if (in.is_brittle()) {
    limit.max_refusals_ = in.max_refusals();
  }
  limit.at_ = now - FromMilliseconds(in.age_ms());
  return limit;
}

}  // namespace citronlane
