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

/// A caller whose handler runs the event loop while it waits, and what it got.
class RecordedCaller : public HttpExchange {
 public:
  explicit RecordedCaller(boost::asio::io_context* io) : io_(io) {}

  bool Reply(const HttpReply& reply) override {
    reply_ = reply;
    is_whole_ = true;
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
    is_whole_ = true;
    return true;
  }
  void Abort() override {}
  void Wait() override {
    while (!notified_) {
      io_->restart();
      if (io_->run_one() != 1) {
        throw std::logic_error("the handler waits for nothing");
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

  /// A stream's head and body, or the whole reply.
  std::optional<HttpReply> reply_;
  bool is_whole_ = false;
  /// A caller takes a second one for the answer to its next request.
  int replies_ = 0;

 private:
  boost::asio::io_context* const io_;
  bool notified_ = false;
  bool is_gone_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_RECORDED_CALLER_H_
