#include "citronlane/relay/stage_task_codec.h"

#include "citronlane/net/fleet_codec.h"
#include "fleet.pb.h"

namespace citronlane {

using Result = StageOutcome::Result;

void EncodeTask(const StageTask& task,
                TimePoint now,
                wire::fleet::StageJob* out) {
  out->set_request(task.request_id_);
  out->set_stage(task.stage_);
  out->set_pieces(task.pieces_);
  out->set_was_sent(task.was_sent_);
  out->set_is_unpaid(task.is_unpaid_);
  out->set_key(task.key_);
  out->set_has_inputs(task.has_inputs_);
  if (task.has_inputs_) {
    out->set_inputs_left_ms(InMilliseconds(task.inputs_until_ - now));
  }
  for (const std::string& input : task.inputs_) {
    out->add_inputs(input);
  }
  out->set_target_left_ms(InMilliseconds(task.target_ - now));
  out->set_deadline_left_ms(InMilliseconds(task.deadline_ - now));
  out->set_priority(task.priority_);
  out->set_result_bytes(task.result_bytes_);
  out->set_near_domain(task.near_domain_);
}

StageTask DecodeTask(const wire::fleet::StageJob& job, TimePoint now) {
  StageTask task;
  task.request_id_ = job.request();
  task.stage_ = job.stage();
  task.pieces_ = job.pieces();
  task.was_sent_ = job.was_sent();
  task.is_unpaid_ = job.is_unpaid();
  task.key_ = job.key();
  task.has_inputs_ = job.has_inputs();
  if (task.has_inputs_) {
    task.inputs_until_ = now + std::chrono::milliseconds(job.inputs_left_ms());
  }
  task.inputs_.assign(job.inputs().begin(), job.inputs().end());
  task.target_ = now + std::chrono::milliseconds(job.target_left_ms());
  task.deadline_ = now + std::chrono::milliseconds(job.deadline_left_ms());
  task.priority_ = job.priority();
  task.result_bytes_ = job.result_bytes();
  task.near_domain_ = job.near_domain();
  return task;
}

void EncodeForecast(const StageForecast& forecast,
                    TimePoint now,
                    wire::fleet::StageAnnouncement* out) {
  out->set_pieces(forecast.pieces_);
  out->set_target_left_ms(InMilliseconds(forecast.target_ - now));
  out->set_deadline_left_ms(InMilliseconds(forecast.deadline_ - now));
  out->set_priority(forecast.priority_);
}

StageForecast DecodeForecast(const wire::fleet::StageAnnouncement& in,
                             TimePoint now) {
  StageForecast forecast;
  forecast.pieces_ = in.pieces();
  forecast.target_ = now + std::chrono::milliseconds(in.target_left_ms());
  forecast.deadline_ = now + std::chrono::milliseconds(in.deadline_left_ms());
  forecast.priority_ = in.priority();
  return forecast;
}

void EncodeWait(const StageWait& wait, wire::fleet::StagePoolWait* out) {
  out->set_on_time_ms(InMilliseconds(wait.on_time_));
  out->set_all_ms(InMilliseconds(wait.all_));
  out->set_call_ms(InMilliseconds(wait.call_));
  out->set_owner_lag_ms(InMilliseconds(wait.owner_lag_));
}

StageWait DecodeWait(const wire::fleet::StagePoolWait& in) {
  StageWait wait;
  wait.on_time_ = std::chrono::milliseconds(in.on_time_ms());
  wait.all_ = std::chrono::milliseconds(in.all_ms());
  wait.call_ = std::chrono::milliseconds(in.call_ms());
  wait.owner_lag_ = FromMilliseconds(in.owner_lag_ms());
  return wait;
}

const char* ToString(StageOutcome::Result result) {
  switch (result) {
    case Result::kDone:
      return "done";
    case Result::kLate:
      return "late";
    case Result::kInputGone:
      return "input gone";
    case Result::kMoved:
      return "moved";
    case Result::kFailed:
      break;
  }
  return "failed";
}

StageOutcome::Result StageResultOf(const std::string& name) {
  for (const Result result :
       {Result::kDone, Result::kLate, Result::kInputGone, Result::kMoved}) {
    if (name == ToString(result)) {
      return result;
    }
  }
  return Result::kFailed;
}

}  // namespace citronlane
