// What leases may rely on of the clocks. Each line above a constant says its unit and the reason for its
// value.
#pragma once
#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace pebblespindle {

// ms; clock drift and late timers over the longest lease
constexpr Millis kClockDriftMarginMs = 50;

}  // namespace pebblespindle
