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

/// gRPC channels to the control VMs, created when first used, and the address
/// of the assumed leader. Thread safe.
class ControlChannels {
 public:
  using Stub = wire::Control::Stub;

  ControlChannels(std::vector<std::string> addresses, TlsFiles tls);

  /// Replaces the addresses; an empty list is ignored.
  void SetAddresses(std::vector<std::string> addresses);
  std::vector<std::string> addresses() const;

  /// Returns the stub for an address; never null. If the TLS files can't be
  /// used, all its calls fail.
  std::shared_ptr<Stub> Get(const std::string& address);

  /// Returns the address of the assumed leader. Precondition: there is at least
  /// one address.
  std::string Leader() const;

  /// Reports that a call to `address` failed because it isn't the leader;
  /// `leader` is the address that it named instead, or empty. Ignored unless
  /// `address` is the assumed leader, so that several failed calls advance it
  /// only once.
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
