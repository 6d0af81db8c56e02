#include <catch2/catch.hpp>

#include "citronlane/relay/stage_task_codec.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The clocks of two VMs are unrelated.
constexpr TimePoint kSender{seconds(100)};
constexpr TimePoint kReceiver{seconds(7000)};

}  // namespace

TEST_CASE("stage tasks between gateways") {
  StageTask task;
  task.request_id_ = "r1";
  task.stage_ = 2;
  task.pieces_ = 7;
  task.target_ = kSender + milliseconds(900);
  task.deadline_ = kSender + milliseconds(4000);
  task.priority_ = 3;
  task.result_bytes_ = 60000;
  task.near_domain_ = "a";
  wire::fleet::StageJob job;

  SECTION("that work on a key") {
    task.key_ = "k";
    EncodeTask(task, kSender, &job);
    const StageTask read = DecodeTask(job, kReceiver);
    CHECK(read.request_id_ == "r1");
    CHECK(read.stage_ == 2);
    CHECK(read.pieces_ == 7);
    CHECK(read.key_ == "k");
    CHECK_FALSE(read.has_inputs_);
    CHECK(read.inputs_until_ == TimePoint::max());
    CHECK(read.target_ == kReceiver + milliseconds(900));
    CHECK(read.deadline_ == kReceiver + milliseconds(4000));
    CHECK(read.priority_ == 3);
    CHECK(read.result_bytes_ == 60000);
    CHECK(read.near_domain_ == "a");
  }

  SECTION("that work on results") {
    task.has_inputs_ = true;
    task.inputs_ = {"x:1/a", "y:1/b"};
    task.inputs_until_ = kSender + milliseconds(3500);
    EncodeTask(task, kSender, &job);
    const StageTask read = DecodeTask(job, kReceiver);
    CHECK(read.has_inputs_);
    CHECK(read.inputs_ == task.inputs_);
    CHECK(read.inputs_until_ == kReceiver + milliseconds(3500));
  }

  SECTION("whose target has passed are late at the receiver too") {
    task.target_ = kSender - milliseconds(300);
    EncodeTask(task, kSender, &job);
    CHECK(DecodeTask(job, kReceiver).target_ == kReceiver);
  }
}

TEST_CASE("stage announcements between gateways") {
  StageForecast forecast;
  forecast.pieces_ = 12;
  forecast.target_ = kSender + milliseconds(1100);
  forecast.deadline_ = kSender + milliseconds(5300);
  forecast.priority_ = 1;
  wire::fleet::StageAnnouncement announcement;
  EncodeForecast(forecast, kSender, &announcement);
  const StageForecast read = DecodeForecast(announcement, kReceiver);
  CHECK(read.pieces_ == 12);
  CHECK(read.target_ == kReceiver + milliseconds(1100));
  CHECK(read.deadline_ == kReceiver + milliseconds(5300));
  CHECK(read.priority_ == 1);

  StageWait wait;
  wait.on_time_ = milliseconds(250);
  wait.all_ = milliseconds(1900);
  wait.call_ = milliseconds(380);
  wait.owner_lag_ = milliseconds(90);
  wire::fleet::StagePoolWait answer;
  EncodeWait(wait, &answer);
  CHECK(DecodeWait(answer).on_time_ == wait.on_time_);
  CHECK(DecodeWait(answer).all_ == wait.all_);
  CHECK(DecodeWait(answer).call_ == wait.call_);
  CHECK(DecodeWait(answer).owner_lag_ == wait.owner_lag_);
}

TEST_CASE("names of stage results on the wire") {
  using Result = StageOutcome::Result;
  for (const Result result :
       {Result::kLate, Result::kInputGone, Result::kMoved, Result::kFailed}) {
    CHECK(StageResultOf(ToString(result)) == result);
  }
  CHECK(StageResultOf("something newer") == Result::kFailed);
}

}  // namespace citronlane
