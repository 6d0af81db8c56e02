#include "fakes/fake_server.h"

#include <boost/asio/strand.hpp>
#include <chrono>
#include <utility>

#include "fakes/connection.h"

namespace citronlane::fakes {
namespace {

using boost::asio::ip::tcp;

constexpr size_t kMaxStreams = 4096;

/// Decrements a count unless it is 0; returns whether it did.
bool Consume(int64_t* count) {
  if (*count <= 0) {
    return false;
  }
  --*count;
  return true;
}

size_t TokenAt(const JsonView& order, const char* name, size_t fallback) {
  return order.HasMember(name) ? order[name].GetUint() : fallback;
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

FakeServer::FakeServer(boost::asio::io_context* context,
                       ServerSpec spec,
                       ListHook list)
    : context_(context),
      spec_(std::move(spec)),
      list_(std::move(list)),
      port_(spec_.port_) {
  faults_.slow_ms_ = spec_.slow_ms_;
  faults_.pace_us_ = spec_.pace_us_;
}

void FakeServer::Start() {
  auto acceptor = std::make_shared<tcp::acceptor>(
      *context_,
      tcp::endpoint(boost::asio::ip::make_address(spec_.address_), port_));
  port_ = acceptor->local_endpoint().port();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    acceptor_ = acceptor;
  }
  boost::asio::spawn(*context_, [self = shared_from_this(), acceptor](
                                    const boost::asio::yield_context& yield) {
    self->Accept(acceptor.get(), yield);
  });
}

void FakeServer::Accept(tcp::acceptor* acceptor,
                        const boost::asio::yield_context& yield) {
  for (;;) {
    tcp::socket socket(boost::asio::make_strand(*context_));
    boost::system::error_code error;
    acceptor->async_accept(socket, yield[error]);
    if (error) {
      return;
    }
    socket.set_option(tcp::no_delay(true), error);
    auto connection =
        std::make_shared<Connection>(shared_from_this(), std::move(socket));
    const std::lock_guard<std::mutex> lock(mutex_);
    // The server was stopped after the connection was accepted.
    if (!acceptor->is_open()) {
      return;
    }
    connections_.insert(connection);
    connection->Start();
  }
}

void FakeServer::Stop(const boost::asio::yield_context& yield) {
  std::set<std::shared_ptr<Connection>> connections;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (acceptor_) {
      boost::system::error_code ignored;
      acceptor_->close(ignored);
    }
    connections.swap(connections_);
    streams_.clear();
  }
  for (const auto& connection : connections) {
    connection->Close(yield);
  }
}

bool FakeServer::listening() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return acceptor_ && acceptor_->is_open();
}

void FakeServer::Remove(const std::shared_ptr<Connection>& connection) {
  const std::lock_guard<std::mutex> lock(mutex_);
  connections_.erase(connection);
}

void FakeServer::Apply(const JsonView& order,
                       const boost::asio::yield_context& yield) {
  if (BoolAt(order, "stop", false)) {
    Stop(yield);
  }
  if (BoolAt(order, "start", false) && !listening()) {
    Start();
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  if (BoolAt(order, "reset", false)) {
    faults_ = Faults();
    faults_.slow_ms_ = spec_.slow_ms_;
    faults_.pace_us_ = spec_.pace_us_;
  }
  if (BoolAt(order, "forget_streams", false)) {
    streams_.clear();
  }
  const std::string leave = StringAt(order, "leave");
  if (!leave.empty()) {
    drain_time_ = leave == "no" ? std::nullopt : std::make_optional(Now());
    drain_ = leave == "drain" || leave == "drain_unlisted";
    listed_ = leave != "drain_unlisted";
  }
  incarnation_ = NumberAt(order, "incarnation", incarnation_);
  const std::pair<const char*, int64_t*> counts[] = {
      {"fail", &faults_.fail_},
      {"reject", &faults_.reject_},
      {"close_after_read", &faults_.close_after_read_},
      {"close_before_run", &faults_.close_before_run_},
      {"wrong_id", &faults_.wrong_id_},
      {"garbage", &faults_.garbage_},
      {"oversize", &faults_.oversize_},
      {"cut_stream", &faults_.cut_stream_},
      {"slow_ms", &faults_.slow_ms_},
      {"pace_us", &faults_.pace_us_},
  };
  for (const auto& [name, count] : counts) {
    *count = NumberAt(order, name, *count);
  }
  faults_.cut_at_ = TokenAt(order, "cut_at", faults_.cut_at_);
  faults_.hold_at_ = TokenAt(order, "hold_at", faults_.hold_at_);
  faults_.hold_ = BoolAt(order, "hold", faults_.hold_);
}

FakeServer::Plan FakeServer::NextPlan() {
  const std::lock_guard<std::mutex> lock(mutex_);
  Plan plan;
  plan.drain_ = drain_;
  plan.slow_ms_ = faults_.slow_ms_;
  plan.pace_us_ = faults_.pace_us_;
  if (drain_) {
    return plan;
  }
  plan.reject_ = Consume(&faults_.reject_);
  plan.close_before_run_ = Consume(&faults_.close_before_run_);
  plan.fail_ = Consume(&faults_.fail_);
  plan.close_after_read_ = Consume(&faults_.close_after_read_);
  plan.wrong_id_ = Consume(&faults_.wrong_id_);
  plan.garbage_ = Consume(&faults_.garbage_);
  plan.oversize_ = Consume(&faults_.oversize_);
  if (spec_.kind_ == "engine" && Consume(&faults_.cut_stream_)) {
    plan.cut_at_ = faults_.cut_at_;
  }
  return plan;
}

size_t FakeServer::AddRecord(RunRecord record) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++queued_;
  record.time_ = Now();
  if (drain_time_) {
    record.draining_for_ = record.time_ - *drain_time_;
  }
  if (spec_.record_) {
    records_.push_back(std::move(record));
  }
  return first_record_ + records_.size() - 1;
}

void FakeServer::EndRecord(size_t index, size_t to_token, bool answered) {
  const std::lock_guard<std::mutex> lock(mutex_);
  --queued_;
  if (!spec_.record_ || index < first_record_) {
    return;
  }
  RunRecord& record = records_[index - first_record_];
  record.to_token_ = to_token;
  record.answered_ = answered;
}

bool FakeServer::IsHeld(size_t token) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return faults_.hold_ && faults_.hold_at_ == token;
}

void FakeServer::StoreStream(const std::string& attempt,
                             const std::string& question) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (streams_.size() >= kMaxStreams) {
    streams_.erase(streams_.begin());
  }
  streams_[attempt] = question;
}

std::optional<std::string> FakeServer::FindStream(const std::string& attempt) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = streams_.find(attempt);
  return found == streams_.end() ? std::nullopt
                                 : std::make_optional(found->second);
}

bool FakeServer::AcceptOrder(int64_t fencing) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (spec_.checks_fencing_ && fencing < fencing_) {
    return false;
  }
  fencing_ = std::max(fencing_, fencing);
  return true;
}

int64_t FakeServer::queued() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return queued_;
}

void FakeServer::WriteRecords(JsonWriter* writer, bool clear) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const RunRecord& record : records_) {
    writer->StartObject();
    writer->Key("server");
    Write(writer, spec_.id_);
    writer->Key("pool");
    Write(writer, spec_.pool_);
    writer->Key("kind");
    Write(writer, spec_.kind_);
    writer->Key("time");
    writer->Double(record.time_);
    writer->Key("attempt");
    Write(writer, record.attempt_);
    writer->Key("text");
    Write(writer, record.text_);
    writer->Key("key");
    Write(writer, record.idempotency_key_);
    writer->Key("mode");
    Write(writer, record.mode_);
    writer->Key("ran");
    writer->Bool(record.ran_);
    writer->Key("mixed");
    writer->Bool(record.mixed_);
    writer->Key("left_for");
    writer->Double(record.draining_for_);
    writer->Key("from_token");
    writer->Uint64(record.from_token_);
    writer->Key("to_token");
    writer->Uint64(record.to_token_);
    writer->Key("answered");
    writer->Bool(record.answered_);
    writer->EndObject();
  }
  if (clear) {
    first_record_ += records_.size();
    records_.clear();
  }
}

void FakeServer::WriteState(JsonWriter* writer) {
  const std::lock_guard<std::mutex> lock(mutex_);
  writer->StartObject();
  writer->Key("id");
  Write(writer, spec_.id_);
  writer->Key("state");
  Write(writer, drain_time_ && listed_ ? "leaving" : "live");
  writer->Key("incarnation");
  writer->Int64(incarnation_);
  writer->EndObject();
}

}  // namespace citronlane::fakes
