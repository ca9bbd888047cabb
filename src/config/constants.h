// Sizes used by configuration delivery and by the record of applied changes. The comment above each constant
// gives its unit and the reason for its value.
#pragma once
#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace pebblespindle {

// Bytes. A chunk takes 50 ms on a link of 2 Mbit/s, and lease messages are sent between chunks.
constexpr std::size_t kUpdateChunkBytes = 12288;
// Chunks. With two of them in flight the link does not idle while an acknowledgement is on its way.
constexpr std::size_t kMaxUnacknowledgedChunks = 2;
// Changes. They cover hours at 41,000 changes a day, or one minute if changes are sent back to back, which is
// longer than operators repeat a change. A change older than that gets kUnavailable instead of kConflict.
// This is also the size of the ring in stored data: another size requires another key prefix.
constexpr std::size_t kAppliedChangesKept = 4096;

}  // namespace pebblespindle
