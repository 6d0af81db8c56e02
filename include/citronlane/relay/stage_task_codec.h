#ifndef CITRONLANE_RELAY_STAGE_TASK_CODEC_H_
#define CITRONLANE_RELAY_STAGE_TASK_CODEC_H_

#include <cstdint>
#include <string>

#include "citronlane/base/time.h"
#include "citronlane/stages/stage_batcher.h"
#include "citronlane/stages/stage_outcome.h"
#include "citronlane/stages/stage_task.h"

namespace citronlane {

namespace wire::fleet {
class StageJob;
class StageJobResult;
}  // namespace wire::fleet

/// Whole milliseconds, 0 for a time that is over. Thread safe, as are the
/// others.
uint64_t InMilliseconds(Duration time);

/// Instants travel as times left, since clocks of two VMs differ.
void EncodeTask(const StageTask& task,
                TimePoint now,
                wire::fleet::StageJob* out);
StageTask DecodeTask(const wire::fleet::StageJob& job, TimePoint now);

/// A pool's expected waits, as a part of a result.
void EncodeWait(const StageBatcher::Wait& wait,
                wire::fleet::StageJobResult* out);
StageBatcher::Wait DecodeWait(const wire::fleet::StageJobResult& in);

/// Name of a result on the wire, and back; an unknown one counts as failed.
const char* ToString(StageOutcome::Result result);
StageOutcome::Result StageResultOf(const std::string& name);

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_STAGE_TASK_CODEC_H_
