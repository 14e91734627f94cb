#include "Common/Allocator.h"

#include <malloc.h>

#include "Common/Log.h"

namespace {

// Larger than most requests.
constexpr int kLargeBufferBytes = 65536;

} // namespace

void ReturnLargeBuffersWhenFreed()
{
  if (mallopt(M_MMAP_THRESHOLD, kLargeBufferBytes) == 0) {
    Log(log_level::Warning,
        "allocator_option_failed",
        { Field("bytes", kLargeBufferBytes) });
  }
}
