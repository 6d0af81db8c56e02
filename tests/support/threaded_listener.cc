#include "support/threaded_listener.h"

#include <sys/socket.h>

namespace citronlane {

using boost::asio::ip::tcp;

ThreadedListener::ThreadedListener(Serve serve)
    : serve_(std::move(serve)),
      acceptor_(io_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
      thread_([this] { Accept(); }) {}

ThreadedListener::~ThreadedListener() {
  ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
  thread_.join();
  for (auto& [socket, thread] : served_) {
    ::shutdown(socket->native_handle(), SHUT_RDWR);
    thread.join();
  }
}

void ThreadedListener::Accept() {
  boost::system::error_code error;
  while (true) {
    auto socket = std::make_unique<tcp::socket>(io_);
    acceptor_.accept(*socket, error);
    if (error) {
      return;
    }
    ++connections_;
    tcp::socket* const accepted = socket.get();
    served_.emplace_back(std::move(socket),
                         std::thread([this, accepted] { serve_(accepted); }));
  }
}

}  // namespace citronlane
