// Load driver of the path bench: sends four-stage requests through a gateway,
// or the same four calls to the backend servers directly, with a fixed number
// in flight, and prints latencies as one line of JSON.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <iostream>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using Yield = asio::yield_context;

constexpr double kMedian = 0.5;
constexpr double kTail = 0.99;
// Used instead of a number of tokens when the gateway refused the request.
constexpr size_t kRefused = SIZE_MAX;
constexpr auto kRefusedPause = std::chrono::milliseconds(20);
constexpr uint64_t kReplyLimit = 64U << 20U;

struct Options {
  std::vector<uint16_t> ports_;
  std::string key_;
  std::string pipeline_;
  bool direct_ = false;
  size_t in_flight_ = 1;
  size_t requests_ = 1000;
  size_t tokens_ = 16;
  size_t threads_ = 2;
};

struct Call {
  std::string target_;
  std::string body_;
  bool stream_ = false;
};

// Latencies in microseconds.
struct Sample {
  double total_ = 0;
  double first_token_ = 0;
};

class Totals {
 public:
  void Add(const Sample& sample) {
    const std::lock_guard<std::mutex> lock(mutex_);
    total_.push_back(sample.total_);
    first_token_.push_back(sample.first_token_);
  }

  void Print(const Options& options,
             double seconds,
             size_t failed,
             size_t refused) {
    std::cout << "{\"in_flight\":" << options.in_flight_
              << ",\"requests\":" << total_.size() << ",\"failed\":" << failed
              << ",\"refused\":" << refused << ",\"seconds\":" << seconds
              << ",\"requests_per_second\":"
              << static_cast<double>(total_.size()) / seconds
              << ",\"p50_us\":" << Quantile(&total_, kMedian)
              << ",\"p99_us\":" << Quantile(&total_, kTail)
              << ",\"first_token_p50_us\":" << Quantile(&first_token_, kMedian)
              << ",\"first_token_p99_us\":" << Quantile(&first_token_, kTail)
              << "}" << std::endl;
  }

 private:
  static double Quantile(std::vector<double>* values, double share) {
    if (values->empty()) {
      return 0;
    }
    const auto place =
        static_cast<size_t>(share * static_cast<double>(values->size() - 1));
    std::nth_element(values->begin(),
                     values->begin() + static_cast<std::ptrdiff_t>(place),
                     values->end());
    return (*values)[place];
  }

  std::mutex mutex_;
  std::vector<double> total_;
  std::vector<double> first_token_;
};

double MicrosSince(Clock::time_point start) {
  return std::chrono::duration<double, std::micro>(Clock::now() - start)
      .count();
}

// One kept-alive connection.
class Link {
 public:
  Link(asio::io_context* context, uint16_t port, std::string key)
      : socket_(*context), port_(port), key_(std::move(key)) {}

  // Sends the call and reads the complete reply; sets the time of the first
  // byte of its body. Returns the number of streamed tokens, or std::nullopt on
  // failure.
  std::optional<size_t> Send(const Call& call,
                             const std::string& id,
                             Clock::time_point* first_byte,
                             const Yield& yield) {
    beast::error_code error;
    if (!Connect(yield)) {
      return std::nullopt;
    }
    http::request<http::string_body> request(http::verb::post, call.target_,
                                             11);
    request.set(http::field::host, "127.0.0.1");
    request.set(http::field::content_type, "application/json");
    request.set("X-Attempt-Id", id);
    request.set("X-Deadline-Ms", "8000");
    if (!key_.empty()) {
      request.set(http::field::authorization, "Bearer " + key_);
    }
    request.body() = call.body_;
    request.prepare_payload();
    http::async_write(socket_, request, yield[error]);
    if (error) {
      return std::nullopt;
    }
    return Read(call.stream_, first_byte, yield);
  }

 private:
  bool Connect(const Yield& yield) {
    if (socket_.is_open()) {
      return true;
    }
    beast::error_code error;
    socket_.async_connect(
        tcp::endpoint(asio::ip::address_v4::loopback(), port_), yield[error]);
    if (!error) {
      socket_.set_option(tcp::no_delay(true), error);
    }
    return !error;
  }

  std::optional<size_t> Read(bool stream,
                             Clock::time_point* first_byte,
                             const Yield& yield) {
    beast::error_code error;
    http::response_parser<http::string_body> parser;
    parser.body_limit(kReplyLimit);
    http::async_read_header(socket_, buffer_, parser, yield[error]);
    while (!error && !parser.is_done()) {
      http::async_read_some(socket_, buffer_, parser, yield[error]);
      if (*first_byte == Clock::time_point() && !parser.get().body().empty()) {
        *first_byte = Clock::now();
      }
    }
    if (!error && parser.get().result() == http::status::service_unavailable) {
      return kRefused;
    }
    if (error || parser.get().result() != http::status::ok) {
      std::cerr << error.message() << " " << parser.get().body() << "\n";
      return std::nullopt;
    }
    return stream ? Tokens(parser.get().body()) : 0;
  }

  static std::optional<size_t> Tokens(const std::string& body) {
    if (body.find("data: [DONE]") == std::string::npos) {
      return std::nullopt;
    }
    size_t count = 0;
    constexpr std::string_view kEvent = "data: {";
    for (size_t at = body.find(kEvent); at != std::string::npos;
         at = body.find(kEvent, at + kEvent.size())) {
      ++count;
    }
    return count;
  }

  tcp::socket socket_;
  const uint16_t port_;
  const std::string key_;
  beast::flat_buffer buffer_;
};

std::vector<Call> DirectCalls(const std::string& text) {
  return {
      {"/v1/embeddings", R"({"model":"m","input":")" + text + "\"}"},
      {"/v1/search", R"({"query":")" + text + R"(","embedding":[],"top_k":8})"},
      {"/v1/rerank", R"({"query":")" + text + R"(","documents":[],"top_n":4})"},
      {"/v1/completions",
       R"({"model":"draft","max_tokens":256,"stream":true,"prompt":")"
       R"(Context:\nQuestion: )" +
           text + "\\n\"}",
       true},
  };
}

std::vector<Call> GatewayCalls(const Options& options,
                               const std::string& text) {
  return {{"/v1/chat/completions",
           R"({"model":")" + options.pipeline_ +
               R"(","stream":true,"messages":[{"role":"user","content":")" +
               text + "\"}]}",
           true}};
}

class Driver {
 public:
  explicit Driver(const Options& options) : options_(options) {}

  int Run() {
    const Clock::time_point start = Clock::now();
    for (size_t i = 0; i < options_.in_flight_; ++i) {
      asio::spawn(context_, [this, i](const Yield& yield) { Work(i, yield); });
    }
    std::vector<std::thread> threads;
    for (size_t i = 0; i < options_.threads_; ++i) {
      threads.emplace_back([this] { context_.run(); });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    const double seconds =
        std::chrono::duration<double>(Clock::now() - start).count();
    totals_.Print(options_, seconds, failed_, refused_);
    return failed_ == 0 ? 0 : 1;
  }

 private:
  // With direct calls, the ports are groups with one port per stage, and each
  // worker uses one group. With a gateway, each worker uses one port.
  void Work(size_t worker, const Yield& yield) {
    const size_t stages = options_.direct_ ? DirectCalls("").size() : 1;
    const size_t groups = options_.ports_.size() / stages;
    const size_t first = worker % groups * stages;
    std::vector<std::unique_ptr<Link>> links;
    for (size_t i = 0; i < stages; ++i) {
      links.push_back(std::make_unique<Link>(
          &context_, options_.ports_[first + i], options_.key_));
    }
    while (next_.fetch_add(1) < options_.requests_) {
      const std::string text =
          "w" + std::to_string(worker) + "r" + std::to_string(next_.load());
      if (!One(links, text, yield)) {
        ++failed_;
        return;
      }
    }
  }

  bool Pause(const Yield& yield) {
    ++refused_;
    asio::steady_timer timer(context_, kRefusedPause);
    beast::error_code error;
    timer.async_wait(yield[error]);
    return !error;
  }

  bool One(const std::vector<std::unique_ptr<Link>>& links,
           const std::string& text,
           const Yield& yield) {
    const auto calls =
        options_.direct_ ? DirectCalls(text) : GatewayCalls(options_, text);
    const Clock::time_point start = Clock::now();
    Sample sample;
    for (size_t i = 0; i < calls.size(); ++i) {
      Clock::time_point first_byte;
      const auto tokens = links[i]->Send(
          calls[i], text + "/" + std::to_string(i) + "/1", &first_byte, yield);
      if (tokens == kRefused) {
        return Pause(yield);
      }
      if (!tokens || (calls[i].stream_ && *tokens < options_.tokens_)) {
        return false;
      }
      sample.first_token_ =
          std::chrono::duration<double, std::micro>(first_byte - start).count();
    }
    sample.total_ = MicrosSince(start);
    totals_.Add(sample);
    return true;
  }

  const Options options_;
  asio::io_context context_;
  std::atomic<size_t> next_{0};
  std::atomic<size_t> failed_{0};
  std::atomic<size_t> refused_{0};
  Totals totals_;
};

}  // namespace

int main(int argc, char** argv) {
  Options options;
  CLI::App app{"Load driver of the path bench."};
  app.add_option("--ports", options.ports_, "Gateways, or servers by stage")
      ->required()
      ->delimiter(',');
  app.add_flag("--direct", options.direct_, "Call the servers themselves");
  app.add_option("--key", options.key_, "Bearer key");
  app.add_option("--pipeline", options.pipeline_, "Pipeline to call");
  app.add_option("--in-flight", options.in_flight_, "Requests at once");
  app.add_option("--requests", options.requests_, "Requests in all");
  app.add_option("--tokens", options.tokens_, "Tokens each answer must have");
  app.add_option("--threads", options.threads_, "Threads of the driver");
  CLI11_PARSE(app, argc, argv);
  return Driver(options).Run();
}
