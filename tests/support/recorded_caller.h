#ifndef CITRONLANE_TESTS_SUPPORT_RECORDED_CALLER_H_
#define CITRONLANE_TESTS_SUPPORT_RECORDED_CALLER_H_

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "citronlane/transport/http_exchange.h"
#include "citronlane/transport/http_reply.h"

namespace citronlane {

/// A caller's HTTP exchange that records the response. The handler runs the
/// event loop while it waits. Not thread safe.
class RecordedCaller : public HttpExchange {
 public:
  explicit RecordedCaller(boost::asio::io_context* io) : io_(io) {}

  bool Reply(const HttpReply& reply) override {
    reply_ = reply;
    is_complete_ = true;
    ++replies_;
    return true;
  }
  bool StartStream(const HttpReply& head) override {
    reply_ = head;
    ++replies_;
    return true;
  }
  bool Write(std::string_view bytes) override {
    reply_->body_.append(bytes);
    return true;
  }
  bool EndStream() override {
    is_complete_ = true;
    return true;
  }
  void Abort() override {}
  void Wait() override {
    while (!notified_) {
      io_->restart();
      if (io_->run_one() != 1) {
        throw std::logic_error("the handler waits, but no operation is left");
      }
    }
    notified_ = false;
  }
  void Notify() override { notified_ = true; }
  bool caller_gone() const override { return is_gone_; }

  void Leave() {
    is_gone_ = true;
    Notify();
  }

  /// The response, or the part of a stream received so far.
  std::optional<HttpReply> reply_;
  bool is_complete_ = false;
  /// Number of responses. Must not exceed 1: a caller would take a second one
  /// for the response to its next request.
  int replies_ = 0;

 private:
  boost::asio::io_context* const io_;
  bool notified_ = false;
  bool is_gone_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_RECORDED_CALLER_H_
