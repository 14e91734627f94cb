#pragma once

/// Makes the allocator return each large buffer to the system as soon as it is
/// freed. By default the size from which it does so rises with the buffers that
/// are freed, and those of a burst stay with the process. To be called once, at
/// the start.
void ReturnLargeBuffersWhenFreed();
