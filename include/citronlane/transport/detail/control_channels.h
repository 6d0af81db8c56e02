#ifndef CITRONLANE_TRANSPORT_DETAIL_CONTROL_CHANNELS_H_
#define CITRONLANE_TRANSPORT_DETAIL_CONTROL_CHANNELS_H_

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "citronlane/transport/tls_files.h"
#include "control.grpc.pb.h"

namespace citronlane {

/// Connections to the control VMs, made when first used, and which of them is
/// thought to lead. Thread safe.
class ControlChannels {
 public:
  using Stub = wire::Control::Stub;

  ControlChannels(std::vector<std::string> addresses, TlsFiles tls);

  /// Replaces what is known of the addresses; an empty list changes nothing.
  void SetAddresses(std::vector<std::string> addresses);
  std::vector<std::string> addresses() const;

  /// Returns the connection to an address; never null.
  std::shared_ptr<Stub> Get(const std::string& address);

  /// Where to send what the leader must answer. Precondition: there is an
  /// address.
  std::string Leader() const;

  /// `address` did not lead; `leader` may, when it is not empty. Only the first
  /// of several calls that failed at one address moves on.
  void OnNotLeader(const std::string& address, const std::string& leader);

 private:
  const TlsFiles tls_;
  mutable std::mutex mutex_;
  std::vector<std::string> addresses_;
  std::map<std::string, std::shared_ptr<Stub>> stubs_;
  std::string leader_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_DETAIL_CONTROL_CHANNELS_H_
