#ifndef TESTS_SUPPORT_FREE_ENDPOINT_H_
#define TESTS_SUPPORT_FREE_ENDPOINT_H_

#include <string>

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace citronlane {

/// Returns a loopback address, "IP:PORT", without a listener. Uses `io` only
/// during the call; to be called on the thread that runs it.
std::string FreeEndpoint(boost::asio::io_context* io);

}  // namespace citronlane

#endif  // TESTS_SUPPORT_FREE_ENDPOINT_H_
