// Timeouts, intervals and thresholds of failovers.
#pragma once
#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace pebblespindle {

// ms; how long a controller waits for the reply to INFO. It covers many round trips, so a database that has
// not replied by then counts as silent.
constexpr Millis kInfoTimeoutMs = 400;
// ms; timeout for connecting to the platform. A controller that has no answer to a promote call after this
// time waits for the promoted database itself to report that it is primary.
constexpr Millis kPlatformTimeoutMs = 1000;
// ms; if the promoted database has not reported itself as primary in a heartbeat by then, the controller
// queries it with INFO
constexpr Millis kPromoteCheckMs = 1500;
// ms; delay before the next attempt after the platform throttled a promote call or did not answer it
constexpr Millis kPromoteRetryMs = 250;
// ms; delay before an unfinished failover is attempted again
constexpr Millis kFailoverRetryMs = 400;
// Number of nodes with a single missed reply each that together count as evidence against a database; fewer
// nodes may all have had a faulty link
constexpr std::size_t kMinNodesWithSingleMiss = 4;
// ms; after a database has answered INFO, missed replies don't lead to another query for this long
constexpr Millis kSuspicionPauseMs = 1500;
// ms; reports of missed replies and refused connections that are older than this are ignored
constexpr Millis kSuspicionWindowMs = 3000;
// ms; a departed database that was draining and has been silent for this long is taken to have ended
constexpr Millis kDepartedSilenceMs = 3000;
// ms; interval between two rounds of queries to departed databases
constexpr Millis kDepartedCheckIntervalMs = 250;
// ms; longest wait for a former primary to come back with its log, when a departed database has ended with a
// log that no reachable database covers. A crashed primary restarts within this time.
constexpr Millis kUncoveredLogWaitMs = 30000;
// ms; the same wait if the former primary has shut down in an orderly way as well: then only a database that
// takes over its address can bring the log
constexpr Millis kReplacementLogWaitMs = 3000;
// ms; a promote call that has not been answered for this long has no effect any more
constexpr Millis kPromoteExpiryMs = 30000;
// Attempts in which the replicas are still behind what the living primary has committed; after that the
// primary is stepped down and takes part as a replica
constexpr int kMaxReplicasBehindAttempts = 20;
// Number of times per attempt that PAUSE is sent again at once to databases that answered it with an error
constexpr int kMaxPauseRetries = 3;
// ms; interval between two queries to a database that reports itself as primary without being the assigned
// one
constexpr Millis kOtherLeaderQueryIntervalMs = 1000;
// ms; a statement whose reply timed out reaches its database within this time or not at all. This is shorter
// than an idle connection is kept open.
constexpr Millis kMaxStatementDelayMs = 2500;
// Consecutive refused connections after which a process is taken to have ended; a single one may be a
// connection reset
constexpr int kRefusalsUntilEnded = 2;
// Attempts to learn the log position of a primary that is being replaced while alive; after that the failover
// goes by the logs of the replicas alone
constexpr int kMaxUnknownPositionAttempts = 3;
// ms; lifetime of a node's report that a database is slow: two measurement windows of the node and the
// transmission
constexpr Millis kSlowReportTtlMs = 1200;
// ms; half of the nodes have to report a database as slow for this long; a single stall is shorter
constexpr Millis kSlowAgreementMs = 700;
// ms; minimum interval between two failovers of a service because of a slow primary
constexpr Millis kSlowHandOverIntervalMs = 15000;

}  // namespace pebblespindle
