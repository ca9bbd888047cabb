// Sizes of configuration delivery and of the record of applied changes. Each line above a constant says its
// unit and the reason for its value.
#pragma once
#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace pebblespindle {

// Bytes; 50 ms of a link of 2 Mbit/s: leases pass in between
constexpr std::size_t kUpdateChunkBytes = 12288;
// Pieces on their way to a node; the link does not idle between two
constexpr std::size_t kMaxUnacknowledgedChunks = 2;
// Changes on record; hours at 41,000 a day, a minute if each only waits for the one before it: longer
// than anyone repeats an order. An older one is not refused but left unclear. It is the size of the
// ring on the disk: another size needs another key
constexpr std::size_t kAppliedChangesKept = 4096;

}  // namespace pebblespindle
