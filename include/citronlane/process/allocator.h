#ifndef CITRONLANE_PROCESS_ALLOCATOR_H_
#define CITRONLANE_PROCESS_ALLOCATOR_H_

namespace citronlane {

/// Makes the allocator return large blocks to the system when they are freed.
/// By default it keeps more of them the larger they were, so that bodies that
/// grow and are freed could take several times the memory that is counted for
/// them. Call once, before other threads start.
void ReturnLargeBlocks();

}  // namespace citronlane

#endif  // CITRONLANE_PROCESS_ALLOCATOR_H_
