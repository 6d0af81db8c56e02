#ifndef CITRONLANE_RELAY_STAGE_TASK_CODEC_H_
#define CITRONLANE_RELAY_STAGE_TASK_CODEC_H_

#include <cstdint>
#include <string>

#include "citronlane/base/time.h"
#include "citronlane/stages/stage_forecast.h"
#include "citronlane/stages/stage_outcome.h"
#include "citronlane/stages/stage_task.h"
#include "citronlane/stages/stage_wait.h"

namespace citronlane {

namespace wire::fleet {
class StageAnnouncement;
class StageJob;
class StagePoolWait;
}  // namespace wire::fleet

/// Conversions between stage types and messages. Points in time are sent as
/// times left, since the clocks of two VMs differ. All functions are thread
/// safe.
void EncodeTask(const StageTask& task,
                TimePoint now,
                wire::fleet::StageJob* out);
StageTask DecodeTask(const wire::fleet::StageJob& job, TimePoint now);

void EncodeForecast(const StageForecast& forecast,
                    TimePoint now,
                    wire::fleet::StageAnnouncement* out);
StageForecast DecodeForecast(const wire::fleet::StageAnnouncement& in,
                             TimePoint now);

void EncodeWait(const StageWait& wait, wire::fleet::StagePoolWait* out);
StageWait DecodeWait(const wire::fleet::StagePoolWait& in);

/// Name of a result on the wire, and the reverse; an unknown name is read as
/// kFailed.
const char* ToString(StageOutcome::Result result);
StageOutcome::Result StageResultOf(const std::string& name);

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_STAGE_TASK_CODEC_H_
