// Periods and shares of the tenants' quotas. The comment above each constant gives its unit and the reason
// for its value.
#pragma once
#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace pebblespindle {

// ms; interval at which controllers send their balances to each other
constexpr Millis kQuotaSyncMs = 1000;
// ms; a request for rights is repeated after this time, which is many round trips
constexpr Millis kQuotaRequestMs = 50;
// ms; a controller that was paused for longer credits no more than this interval
constexpr std::int64_t kMaxCreditIntervalMs = 200;
// Share of the burst that may accumulate at the controllers; the rest is held by the nodes
constexpr double kStoredBurstShare = 0.6;
// Operations, added to each controller's share of the burst, so that a share of the smallest quota is still
// worth requesting
constexpr double kMinStoredOperations = 3;
// Share of a controller's capacity; below it the controller requests rights from another one
constexpr double kRequestBelowShare = 0.1;
// ms; rights that a node has not used by then expire
constexpr Millis kRightsTtlMs = 1500;
// Seconds of its own recent use that a node requests at once
constexpr double kRightsAheadS = 0.3;

}  // namespace pebblespindle
