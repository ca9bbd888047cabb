// Periods and shares of the tenants' quotas. Each line above a constant says its unit and the reason for its
// value.
#pragma once
#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace pebblespindle {

// ms; how often cores tell each other what they hold
constexpr Millis kQuotaSyncMs = 1000;
// ms; many round trips: then it is asked again
constexpr Millis kQuotaRequestMs = 50;
// ms; one that stood still longer credits no more than this
constexpr std::int64_t kMaxCreditIntervalMs = 200;
// Of the burst: what may pile up at the cores; the rest is with the nodes
constexpr double kStoredBurstShare = 0.6;
// Operations; a core's share of the smallest allowance is worth asking for
constexpr double kMinStoredOperations = 3;
// Of a core's share: below it another core is asked
constexpr double kRequestBelowShare = 0.1;
// ms; what a node holds and does not use lapses
constexpr Millis kRightsTtlMs = 1500;
// S; of its own use that a node asks for at once
constexpr double kRightsAheadS = 0.3;

}  // namespace pebblespindle
