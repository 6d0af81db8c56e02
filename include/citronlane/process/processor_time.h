#ifndef CITRONLANE_PROCESS_PROCESSOR_TIME_H_
#define CITRONLANE_PROCESS_PROCESSOR_TIME_H_

#include "citronlane/base/time.h"

namespace citronlane {

/// Processor time that this process has used since its start; 0 when the clock
/// can't be read. Thread safe.
Duration ProcessorTime();

}  // namespace citronlane

#endif  // CITRONLANE_PROCESS_PROCESSOR_TIME_H_
