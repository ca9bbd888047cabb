// Time-outs and thresholds of failovers. Each line above a constant says its unit and the reason for its
// value.
#pragma once
#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace pebblespindle {

// ms; many round trips: silence here is one vote that it is dark
constexpr Millis kInfoTimeoutMs = 400;
// ms; to reach the platform, and until the database itself is asked for the outcome of a call
constexpr Millis kPlatformTimeoutMs = 1000;
// ms; without a beat of the new primary, ask it by INFO
constexpr Millis kPromoteCheckMs = 1500;
// ms; pause before another call after 409, 429 or silence
constexpr Millis kPromoteRetryMs = 250;
// ms; pause before an unfinished switch is taken up again
constexpr Millis kFailoverRetryMs = 400;
// Nodes that missed one answer each; fewer may all have met a bad link
constexpr std::size_t kMinNodesWithSingleMiss = 4;
// ms; an answered INFO clears suspicion for this long
constexpr Millis kSuspicionPauseMs = 1500;
// ms; reports older than this no longer count
constexpr Millis kSuspicionWindowMs = 3000;
// ms; one that has left and is silent for so long has ended, if it was draining
constexpr Millis kDepartedSilenceMs = 3000;
// ms; between two looks at those that have left
constexpr Millis kDepartedCheckIntervalMs = 250;
// ms; the longest wait for a log that has been taken along; any crashed primary is back before
constexpr Millis kUncoveredLogWaitMs = 30000;
// ms; the same where the primary has left in order as well: only a database that takes over its address can
// bring the log
constexpr Millis kReplacementLogWaitMs = 3000;
// ms; a call to the platform without an answer has no effect any more
constexpr Millis kPromoteExpiryMs = 30000;
// Attempts in which the replicas stay behind what the primary has committed; then it follows as well
constexpr int kMaxReplicasBehindAttempts = 20;
// Times that a database which did not run a PAUSE is asked again at once
constexpr int kMaxPauseRetries = 3;
// ms; between two questions to one that says it leads beside the assigned primary
constexpr Millis kOtherLeaderQueryIntervalMs = 1000;
// ms; a statement that was given up has arrived by then, or never; inside the rest of an idle line
constexpr Millis kMaxStatementDelayMs = 2500;
// Refusals in a row: ended; a single one may be a connection's reset
constexpr int kRefusalsUntilEnded = 2;
// Tries to learn where a leaving primary stands; then the replicas alone count
constexpr int kMaxUnknownPositionAttempts = 3;
// ms; a report counts this long: two windows and the way
constexpr Millis kSlowReportTtlMs = 1200;
// ms; half of the nodes agree this long: more than one stall
constexpr Millis kSlowAgreementMs = 700;
// ms; a service's lead moves for slowness no more often
constexpr Millis kSlowHandOverIntervalMs = 15000;

}  // namespace pebblespindle
