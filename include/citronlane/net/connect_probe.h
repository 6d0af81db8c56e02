#ifndef CITRONLANE_NET_CONNECT_PROBE_H_
#define CITRONLANE_NET_CONNECT_PROBE_H_

#include <functional>
#include <string>

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace citronlane {

/// Tests whether a process still listens at `endpoint`, "IP:port", by
/// connecting up to three times within some hundred milliseconds: a process
/// that ends closes its connections before its listener. Calls `done` once, on
/// the event loop, with whether a connection was refused. A host that does not
/// respond refuses nothing. `io` must run until then.
void ProbeListener(boost::asio::io_context* io,
                   const std::string& endpoint,
                   std::function<void(bool is_refused)> done);

}  // namespace citronlane

#endif  // CITRONLANE_NET_CONNECT_PROBE_H_
