#include "citronlane/net/server_list_reader.h"

#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/net/server_call_spec.h"
#include "citronlane/serving/dialect.h"
#include "citronlane/transport/stage_call.h"
#include "citronlane/transport/stage_client.h"
#include "citronlane/transport/stage_reply_head.h"

namespace citronlane {
namespace {

/// The read fails when a page takes longer; the owner of the reader starts the
/// next one.
constexpr Duration kPageTimeout = std::chrono::milliseconds(800);
/// More pages than any list has; bounds a list whose pages form a cycle.
constexpr size_t kMaxPages = 200;
/// Maximum size of all pages of a list together; some 30,000 entries.
constexpr size_t kMaxListBytes = size_t{8} << 20;
constexpr int kOk = 200;

}  // namespace

ServerListReader::ServerListReader(StageClient* client,
                                   const Dialect* dialect,
                                   std::string address)
    : client_(client), dialect_(dialect), address_(std::move(address)) {}

ServerListReader::~ServerListReader() {
  if (call_) {
    call_->Cancel();
  }
}

void ServerListReader::Read(Done done) {
  if (call_) {
    return;
  }
  done_ = std::move(done);
  servers_.clear();
  pages_read_ = 0;
  bytes_read_ = 0;
  unusable_read_ = 0;
  invalid_cold_times_read_ = 0;
  ReadPage("");
}

void ServerListReader::ReadPage(const std::string& page) {
  auto status = std::make_shared<int>(0);
  StageCallHooks hooks;
  hooks.sending_ = [] { return true; };
  hooks.head_ = [status](const StageReplyHead& head) {
    *status = head.status_;
    return true;
  };
  hooks.done_ = [this, status](CallOutcome outcome, const std::string& body) {
    call_.reset();
    if (outcome != CallOutcome::kSuccess) {
      Fail(Error{"the call to " + address_ + " for the server list failed"});
    } else {
      HandlePage(*status, body);
    }
  };
  StageCallSpec spec = SpecFor(address_, "GET", dialect_->list_target_(page),
                               SteadyNow() + kPageTimeout);
  // A page carries neither its token nor an id of the call: on a reused
  // connection, a late reply would be read as the next page.
  spec.fresh_connection_ = true;
  call_ = client_->Start(std::move(spec), std::move(hooks));
}

void ServerListReader::HandlePage(int status, const std::string& body) {
  if (status != kOk) {
    Fail(Error{"the call to " + address_ +
               " for the server list was refused with status " +
               std::to_string(status)});
    return;
  }
  bytes_read_ += body.size();
  if (bytes_read_ > kMaxListBytes) {
    Fail(Error{"the server list at " + address_ + " exceeds " +
               std::to_string(kMaxListBytes) + " bytes"});
    return;
  }
  Error error;
  auto page = dialect_->read_list_(body, &error);
  if (!page) {
    Fail(error);
    return;
  }
  for (BackendServer& server : page->servers_) {
    servers_.push_back(std::move(server));
  }
  ++pages_read_;
  unusable_read_ += page->unusable_;
  invalid_cold_times_read_ += page->invalid_cold_times_;
  if (!page->next_.empty() && pages_read_ < kMaxPages) {
    ReadPage(page->next_);
    return;
  }
  pages_ = pages_read_;
  unusable_ = unusable_read_;
  invalid_cold_times_ = invalid_cold_times_read_;
  const Done done = std::move(done_);
  done(std::move(servers_), Error{});
}

void ServerListReader::Fail(const Error& error) {
  const Done done = std::move(done_);
  done(std::nullopt, error);
}

}  // namespace citronlane
