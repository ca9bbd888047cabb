// Times of node leases, and the maximum age of positions. The comment above each constant gives its unit and
// the reason for its value.
#pragma once
#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace pebblespindle {

// ms; tolerates three missed renewals, and bounds the time that a failover waits for a dead node
constexpr Millis kNodeLeaseMs = 1000;
// ms; leaves three attempts within a lease
constexpr Millis kNodeRenewalMs = 300;
// ms; an older position is of no use, since no route allows this much staleness
constexpr Millis kMaxPositionAgeMs = 10000;

}  // namespace pebblespindle
