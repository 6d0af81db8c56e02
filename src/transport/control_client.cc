#include "citronlane/transport/control_client.h"

#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/json/parse.h"
#include "citronlane/json/value.h"
#include "citronlane/transport/detail/config_holder.h"
#include "citronlane/transport/detail/control_link.h"
#include "citronlane/transport/detail/leader_call.h"
#include "citronlane/transport/detail/reporter.h"

namespace citronlane {
namespace {

using RegisterCall = LeaderCall<wire::RegisterRequest, wire::RegisterReply>;
using ClaimCall = LeaderCall<wire::ClaimRequest, wire::ClaimReply>;
using FinishCall = LeaderCall<wire::FinishClaimRequest, wire::FinishClaimReply>;
using Result = ClaimAnswer::Result;

/// How long storing an answer is retried, also after finish_timeout_. The key
/// counts as running until it succeeds.
constexpr Duration kFinishRetryLimit = std::chrono::hours(1);

/// Calls a callback at most once. Thread safe.
class OnceDone {
 public:
  explicit OnceDone(ControlClient::Done done) : done_(std::move(done)) {}

  void Call(bool result) {
    if (!called_.exchange(true)) {
      done_(result);
    }
  }

 private:
  const ControlClient::Done done_;
  std::atomic<bool> called_{false};
};

Result ResultOf(wire::ClaimReply::Result result) {
  switch (result) {
    case wire::ClaimReply::GRANTED:
      return Result::kGranted;
    case wire::ClaimReply::RUNNING:
      return Result::kRunning;
    case wire::ClaimReply::FINISHED:
      return Result::kFinished;
    case wire::ClaimReply::KEY_REUSED:
      return Result::kKeyReused;
    case wire::ClaimReply::OWNER_LOST:
      return Result::kOwnerLost;
    default:
      return Result::kUnavailable;
  }
}

wire::RefusalRecord ToRecord(const RefusalEntry& entry) {
  wire::RefusalRecord record;
  record.set_id(entry.id_);
  record.set_reason(static_cast<uint32_t>(entry.reason_));
  record.set_verdict(std::string(ToString(entry.verdict_)));
  record.set_account(entry.account_);
  record.set_class_name(entry.class_name_);
  record.set_pipeline(entry.target_);
  record.set_gateway(entry.gateway_);
  record.set_config_version(entry.config_version_);
  record.set_time_ms(entry.time_ms_);
  JsonValue figures = JsonValue::Object();
  for (const auto& [name, value] : entry.figures_) {
    figures.Set(name, JsonValue::Number(value));
  }
  record.set_figures(WriteJson(figures));
  return record;
}

}  // namespace

class ControlClient::Impl {
 public:
  Impl(const ControlClientOptions& options, ControlClientHooks hooks)
      : hooks_(std::move(hooks)),
        link_(options),
        holder_(&link_, hooks_, [this] { Register(); }),
        reporter_(&link_, hooks_) {}
  ~Impl() { Stop(); }

  void Start();
  void Stop();
  void Claim(const ClaimQuery& query, ClaimDone done);
  void Finish(const ClaimQuery& query, const StoredAnswer& answer, Done done);
  void Release(const ClaimQuery& query, Done done);
  bool ReportRefusals(const std::vector<RefusalEntry>& refusals,
                      uint64_t dropped);
  void ReportLeaving(std::string_view server, uint64_t incarnation);
  void ReportCrashes(const wire::fleet::CrashReports& reports);

 private:
  using Key = std::pair<std::string, std::string>;

  void Register();
  ClaimAnswer OnClaim(const ClaimQuery& query,
                      uint64_t claim_id,
                      const std::optional<wire::ClaimReply>& reply);
  uint64_t RemoveGranted(const ClaimQuery& query);
  wire::FinishClaimRequest MakeReleaseRequest(const ClaimQuery& query,
                                              uint64_t claim_id) const;
  void SendFinish(const wire::FinishClaimRequest& request, Done done);
  bool ReservePending();

  const ControlClientHooks hooks_;
  ControlLink link_;
  ConfigHolder holder_;
  Reporter reporter_;
  std::atomic<bool> registering_{false};
  std::atomic<uint64_t> last_claim_id_{0};
  std::atomic<size_t> pending_{0};
  std::mutex mutex_;
  /// Claim ids of the keys that were granted here and not finished or released.
  std::map<Key, uint64_t> granted_;
};

void ControlClient::Impl::Start() {
  link_.timers_.Start();
  Register();
  holder_.Start();
  reporter_.Start();
}

void ControlClient::Impl::Stop() {
  link_.calls_.Stop();
  link_.timers_.Stop();
}

void ControlClient::Impl::Register() {
  if (registering_.exchange(true)) {
    return;
  }
  wire::RegisterRequest request;
  *request.mutable_gateway() = link_.gateway_;
  std::make_shared<RegisterCall>(
      &link_, std::move(request),
      [](auto* stub, auto* context, const auto* sent, auto* reply,
         auto status) {
        stub->async()->Register(context, sent, reply, std::move(status));
      },
      [](const wire::RegisterReply& reply) { return reply.done(); },
      SteadyNow() + link_.options_.claim_timeout_,
      [this](const std::optional<wire::RegisterReply>& /*reply*/) {
        registering_ = false;
      })
      ->Try();
}

void ControlClient::Impl::Claim(const ClaimQuery& query, ClaimDone done) {
  if (!ReservePending()) {
    done(ClaimAnswer());
    return;
  }
  const uint64_t claim_id = ++last_claim_id_;
  wire::ClaimRequest request;
  *request.mutable_gateway() = link_.gateway_;
  request.set_account(query.account_);
  request.set_key(query.key_);
  request.set_body_digest(query.body_digest_);
  request.set_claim_id(claim_id);
  std::make_shared<ClaimCall>(
      &link_, std::move(request),
      [](auto* stub, auto* context, const auto* sent, auto* reply,
         auto status) {
        stub->async()->Claim(context, sent, reply, std::move(status));
      },
      [](const wire::ClaimReply& reply) {
        return reply.result() != wire::ClaimReply::UNAVAILABLE ||
               reply.definite();
      },
      SteadyNow() + link_.options_.claim_timeout_,
      [this, query, claim_id,
       done = std::move(done)](const std::optional<wire::ClaimReply>& reply) {
        const ClaimAnswer answer = OnClaim(query, claim_id, reply);
        --pending_;
        done(answer);
      })
      ->Try();
}

ClaimAnswer ControlClient::Impl::OnClaim(
    const ClaimQuery& query,
    uint64_t claim_id,
    const std::optional<wire::ClaimReply>& reply) {
  ClaimAnswer answer;
  if (!reply) {
    // The claim may have been granted nevertheless. The request doesn't run, so
    // the key is released.
    SendFinish(MakeReleaseRequest(query, claim_id), [](bool /*done*/) {});
    return answer;
  }
  answer.result_ = ResultOf(reply->result());
  if (answer.result_ == Result::kGranted) {
    const std::lock_guard<std::mutex> lock(mutex_);
    granted_[{query.account_, query.key_}] = claim_id;
  }
  if (answer.result_ == Result::kFinished) {
    answer.stored_.status_ = static_cast<int>(reply->status());
    answer.stored_.content_type_ = reply->content_type();
    answer.stored_.body_ = reply->answer();
    answer.answer_dropped_ = reply->answer_dropped();
  }
  return answer;
}

void ControlClient::Impl::Finish(const ClaimQuery& query,
                                 const StoredAnswer& answer,
                                 Done done) {
  wire::FinishClaimRequest request =
      MakeReleaseRequest(query, RemoveGranted(query));
  request.set_release(false);
  request.set_status(static_cast<uint32_t>(answer.status_));
  request.set_content_type(answer.content_type_);
  request.set_answer(answer.body_);
  SendFinish(request, std::move(done));
}

void ControlClient::Impl::Release(const ClaimQuery& query, Done done) {
  SendFinish(MakeReleaseRequest(query, RemoveGranted(query)), std::move(done));
}

uint64_t ControlClient::Impl::RemoveGranted(const ClaimQuery& query) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = granted_.find({query.account_, query.key_});
  if (found == granted_.end()) {
    return 0;
  }
  const uint64_t claim_id = found->second;
  granted_.erase(found);
  return claim_id;
}

// Finish sets release to false and adds the answer.
wire::FinishClaimRequest ControlClient::Impl::MakeReleaseRequest(
    const ClaimQuery& query,
    uint64_t claim_id) const {
  wire::FinishClaimRequest request;
  *request.mutable_gateway() = link_.gateway_;
  request.set_account(query.account_);
  request.set_key(query.key_);
  request.set_claim_id(claim_id);
  request.set_release(true);
  return request;
}

void ControlClient::Impl::SendFinish(const wire::FinishClaimRequest& request,
                                     Done done) {
  if (!ReservePending()) {
    done(false);
    return;
  }
  const auto once = std::make_shared<OnceDone>(std::move(done));
  link_.timers_.After(link_.options_.finish_timeout_,
                      [once] { once->Call(false); });
  std::make_shared<FinishCall>(
      &link_, request,
      [](auto* stub, auto* context, const auto* sent, auto* reply,
         auto status) {
        stub->async()->FinishClaim(context, sent, reply, std::move(status));
      },
      [](const wire::FinishClaimReply& reply) { return reply.committed(); },
      SteadyNow() + kFinishRetryLimit,
      [this, once](const std::optional<wire::FinishClaimReply>& reply) {
        --pending_;
        once->Call(reply && reply->done());
      })
      ->Try();
}

bool ControlClient::Impl::ReportRefusals(
    const std::vector<RefusalEntry>& refusals,
    uint64_t dropped) {
  const auto promise = std::make_shared<std::promise<bool>>();
  std::future<bool> future = promise->get_future();
  std::vector<wire::RefusalRecord> records;
  records.reserve(refusals.size());
  for (const RefusalEntry& entry : refusals) {
    records.push_back(ToRecord(entry));
  }
  const TimePoint deadline = SteadyNow() + link_.options_.claim_timeout_;
  link_.timers_.Post([this, records = std::move(records), dropped, deadline,
                      promise] {
    reporter_.AddRefusals(records, dropped, deadline,
                          [promise](bool done) { promise->set_value(done); });
  });
  return future.get();
}

void ControlClient::Impl::ReportLeaving(std::string_view server,
                                        uint64_t incarnation) {
  link_.timers_.Post([this, server = std::string(server), incarnation] {
    reporter_.AddLeaving(server, incarnation);
  });
}

void ControlClient::Impl::ReportCrashes(
    const wire::fleet::CrashReports& reports) {
  link_.timers_.Post([this, reports] { reporter_.AddCrashes(reports); });
}

bool ControlClient::Impl::ReservePending() {
  if (pending_.fetch_add(1) >= link_.options_.max_pending_) {
    --pending_;
    return false;
  }
  return true;
}

ControlClient::ControlClient(const ControlClientOptions& options,
                             ControlClientHooks hooks)
    : impl_(std::make_unique<Impl>(options, std::move(hooks))) {}

ControlClient::~ControlClient() = default;

void ControlClient::Start() {
  impl_->Start();
}

void ControlClient::Stop() {
  impl_->Stop();
}

void ControlClient::Claim(const ClaimQuery& query, ClaimDone done) {
  impl_->Claim(query, std::move(done));
}

void ControlClient::Finish(const ClaimQuery& query,
                           const StoredAnswer& answer,
                           Done done) {
  impl_->Finish(query, answer, std::move(done));
}

void ControlClient::Release(const ClaimQuery& query, Done done) {
  impl_->Release(query, std::move(done));
}

bool ControlClient::ReportRefusals(const std::vector<RefusalEntry>& refusals,
                                   uint64_t dropped) {
  return impl_->ReportRefusals(refusals, dropped);
}

void ControlClient::ReportLeaving(std::string_view server,
                                  uint64_t incarnation) {
  impl_->ReportLeaving(server, incarnation);
}

void ControlClient::ReportCrashes(const wire::fleet::CrashReports& reports) {
  impl_->ReportCrashes(reports);
}

}  // namespace citronlane
