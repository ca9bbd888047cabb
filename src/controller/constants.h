// Bounds and time-outs of the controller process. Each line above a constant says its unit and the reason for
// its value.
#pragma once
#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace pebblespindle {

// Bytes; two of the longest messages wait for a core that reads nothing; then the link starts anew
constexpr std::size_t kMaxPeerQueueBytes = 16 << 20;
// ms; the first configuration waits this long for all voters: inside the operator's patience
constexpr Millis kInitialVotersWaitMs = 4000;
// Sentences a core keeps for status: some minutes of trouble
constexpr std::size_t kMaxEvents = 60;
// ms; a core that ends waits this long for its successor: half of the usual grace period
constexpr Millis kHandOverTimeoutMs = 3000;

}  // namespace pebblespindle
