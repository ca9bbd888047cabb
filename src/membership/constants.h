// Leases of nodes, and ages of positions. Each line above a constant says its unit and the reason for its
// value.
#pragma once
#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace pebblespindle {

// ms; three missed renewals; bounds a failover's wait for a dead node
constexpr Millis kNodeLeaseMs = 1000;
// ms; three tries within a lease
constexpr Millis kNodeRenewalMs = 300;
// ms; no route allows older positions than this
constexpr Millis kMaxPositionAgeMs = 10000;

}  // namespace pebblespindle
