// Time-outs of the link to a controller. Each line above a constant says its unit and the reason for its
// value.
#pragma once
#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace pebblespindle {

// ms; an agent leaves a core that is silent this long
constexpr Millis kControllerTimeoutMs = 700;
// ms; a renewal unanswered this long: other cores are asked while the lease still runs
constexpr Millis kRenewalAnswerMs = 200;
// ms; many round trips: then the next core is asked as well
constexpr Millis kControllerQueryIntervalMs = 50;

}  // namespace pebblespindle
