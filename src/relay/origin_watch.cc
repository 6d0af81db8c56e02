#include "citronlane/relay/origin_watch.h"

#include <utility>

#include "citronlane/net/fleet_codec.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/routing/stream_version.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

using wire::fleet::Frame;

/// Streams that begin at one gateway within kMaxStreamAge.
constexpr size_t kMaxStreams = size_t{1} << 18;

}  // namespace

OriginWatch::OriginWatch(EventLog* log, Hooks hooks)
    : log_(log),
      hooks_(std::move(hooks)),
      streams_(kMaxStreamAge, kMaxStreams) {}

void OriginWatch::OnBegun(std::string_view request_id,
                          const StreamOrigin& origin) {
  const uint64_t stream = StreamOrigins::KeyOf(request_id);
  if (streams_.Record(stream, origin, hooks_.now_())) {
    unreported_[{origin.service_, origin.version_}].push_back(stream);
  }
}

std::optional<StreamOrigin> OriginWatch::Find(std::string_view request_id) {
  return streams_.Find(StreamOrigins::KeyOf(request_id), hooks_.now_());
}

uint64_t OriginWatch::Ask(std::string_view request_id,
                          const std::string& service,
                          std::function<void(const Answer&)> done) {
  const uint64_t number = ++last_question_;
  const Question& question = questions_[number] = {
      StreamOrigins::KeyOf(request_id), service, std::move(done)};
  Send(number, question);
  return number;
}

void OriginWatch::Cancel(uint64_t question) {
  questions_.erase(question);
}

void OriginWatch::Take(const wire::fleet::StreamOriginAnswer& answer) {
  const auto it = questions_.find(answer.question());
  if (it == questions_.end() || !(answer.is_known() || answer.leads())) {
    return;
  }
  const Question question = std::move(it->second);
  questions_.erase(it);
  Answer result;
  if (answer.is_known()) {
    result.origin_ = StreamOrigin{answer.service(), answer.version()};
    streams_.Record(question.stream_, *result.origin_, hooks_.now_());
  } else if (answer.only_version_ms() > 0) {
    result.only_version_ = OnlyVersion{
        answer.only_version(), FromMilliseconds(answer.only_version_ms()),
        answer.is_only_version_ever(), FromMilliseconds(answer.list_age_ms())};
  }
  question.done_(result);
}

void OriginWatch::Tick() {
  Send(std::exchange(unreported_, StreamGroups()));
  LogForgotten();
}

void OriginWatch::ReportAll() {
  unreported_.clear();
  StreamGroups all;
  streams_.ForEach([&all](uint64_t stream, const StreamOrigin& origin) {
    all[{origin.service_, origin.version_}].push_back(stream);
  });
  Send(all);
  for (const auto& [number, question] : questions_) {
    Send(number, question);
  }
}

void OriginWatch::Send(const StreamGroups& streams) {
  for (const Frame& frame : EncodeOrigins(streams, false)) {
    hooks_.send_(frame);
  }
}

void OriginWatch::Send(uint64_t number, const Question& question) {
  Frame frame;
  auto* ask = frame.mutable_origin_ask();
  ask->set_question(number);
  ask->set_stream(question.stream_);
  ask->set_service(question.service_);
  hooks_.send_(frame);
}

void OriginWatch::LogForgotten() {
  const uint64_t forgotten = streams_.forgotten_early();
  if (forgotten != logged_forgotten_) {
    log_->Write("relay", "stream origins forgotten",
                {{"streams", forgotten - logged_forgotten_},
                 {"remembered", static_cast<uint64_t>(streams_.size())}});
    logged_forgotten_ = forgotten;
  }
}

}  // namespace citronlane
