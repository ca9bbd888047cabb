// Limits, time-outs and weights of the pooler. Each line above a constant says its unit and the reason for
// its value.
#pragma once
#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace pebblespindle {

// ms; subtracted from a route's stale_ms, for the time a statement takes to reach the database
constexpr Millis kFreshnessMarginMs = 40;
// ms; least time between two kept positions of a primary, bounds their memory
constexpr Millis kMinObservationSpacingMs = 20;
// ms; how long sessions of a pooler that just started wait for the first configuration and lease; clients
// wait two seconds for the IDLE that answers CONNECT
constexpr Millis kInitialFeedWaitMs = 1000;
// ms; a node whose lease ended this long ago reports itself unready, so that other nodes get its clients
constexpr Millis kReadyAfterLeaseEndMs = 300;
// ms; once the primary has been unreachable from this node for this long, sessions are closed after a
// refusal, so that their clients connect to another node
constexpr Millis kPrimaryUnreachableMs = 2500;
// ms; pause before a new connection after CONNLIMIT: other nodes return connections within a few answers
constexpr Millis kConnectionLimitPauseMs = 25;
// Connections per node; with a smaller fair share, connections to the database count as scarce
constexpr double kScarceConnectionsPerNode = 2.0;
// Connections one node opens at most to a database whose connections are scarce
constexpr std::size_t kMaxScarceConnections = 3;
// ms; how often idle connections are checked for closing
constexpr Millis kIdleCheckIntervalMs = 250;
// Share (0 to 1) of the connections to a database at its limit that nodes keep while idle; the rest stays
// free for the other nodes
constexpr double kKeptConnectionShare = 0.8;
// ms; from blocking a database to its first probe connection
constexpr Millis kFirstProbeDelayMs = 50;
// ms; longest interval between probes, each of which is one connection
constexpr Millis kMaxProbeIntervalMs = 1600;
// ms; how long reads avoid a replica that answered LAGGING, so that it can apply its log
constexpr Millis kLaggingAvoidMs = 60;
// ms; a draining database gets no more statements from this long before DrainMs runs out
constexpr Millis kDrainMarginMs = 1000;
// ms; how long running statements may continue at a primary in a planned handover
constexpr Millis kHandOverDrainMs = 250;
// ms; pooled connections that have been idle this long are closed
constexpr Millis kIdleConnectionTimeoutMs = 20000;
// ms; shortest soft timeout: no read is retried elsewhere sooner
constexpr Millis kMinSoftTimeoutMs = 60;
// ms; soft timeout while no latency of the database and route is known
constexpr Millis kInitialSoftTimeoutMs = 250;
// Soft timeout as a multiple of the slowest recent answer
constexpr double kSoftTimeoutFactor = 1.5;
// Factor per answer on the slowest recent latency; a slow spell is forgotten after some hundred answers
constexpr double kWorstLatencyDecay = 0.995;
// Connections of a database left for the controllers' own calls and for nodes that join
constexpr int kReservedConnections = 4;
// Sessions a pooler accepts; below its limit of file descriptors
constexpr int kMaxSessions = 3500;
// ms; how long a statement may run on after its client has gone; most end sooner, and the connection is then
// reused
constexpr Millis kAbandonedStatementTimeoutMs = 400;
// ms; retry-after for clients of a node that shuts down; they need not wait, since other nodes serve them
constexpr Millis kShutdownRetryMs = 1;
// Session values and prepared names one session may hold in all
constexpr std::size_t kMaxSessionValues = 256;
// ms or quota rights; no clock or sum of a controller reaches this, so larger values are discarded
constexpr std::int64_t kMaxReportedValue = std::int64_t(1) << 52;
// Nodes; more than any fleet has, larger reported counts are clamped
constexpr std::size_t kMaxNodes = 100000;
// Bytes; session values and prepared statements of one session, the size of one message
constexpr std::size_t kMaxSessionBytes = 1 << 20;
// Bytes; rows of one answer, which are buffered until the answer is complete
constexpr std::size_t kMaxAnswerBytes = 8 << 20;
// Prepared statements for which a node remembers names; beyond it the list is cleared and new names are used
constexpr std::size_t kMaxPreparedNames = 20000;
// Prepared statements on one database connection before it gets a RESET
constexpr std::size_t kMaxPreparedPerConnection = 200;
// ms; several round trips to a controller; without a reply by then, the read goes to the primary
constexpr Millis kPositionQueryTimeoutMs = 15;
// ms; a database that has sent this node nothing for this long before a statement counts as rarely used here
constexpr Millis kRarelyUsedAfterMs = 2000;
// Consecutive unanswered requests before a database is reported as not answering
constexpr int kTimeoutsUntilReport = 2;
// Weight of one request in the moving failure rate, about the last dozen requests count
constexpr double kFailureRateWeight = 0.15;
// Failure rate (0 to 1) above which reads prefer other databases of the service
constexpr double kMaxFailureRate = 0.35;
// ms; how long reads avoid a database at its first ejection
constexpr Millis kFirstEjectionMs = 1000;
// ms; ejection on a report for the whole zone; lasts until the zone's next health window
constexpr Millis kReportedEjectionMs = 2500;
// ms; longest ejection of a database that fails again and again
constexpr Millis kMaxEjectionMs = 8000;
// ms; some ten answers per node at ordinary request rates
constexpr Millis kLatencyWindowMs = 500;
// Answers; a window with fewer is not judged
constexpr int kMinAnswersInWindow = 5;
// Multiple of the baseline median at which a primary counts as slow; half of the nodes have to report it
constexpr double kSlowLatencyFactor = 2.7;
// ms; and the median has to exceed the baseline by at least this
constexpr double kMinSlowdownMs = 15.0;
// Multiple of the baseline number of answers above which a primary is busy rather than slow
constexpr double kBusyThroughputFactor = 1.3;
// Weight of one window in the baseline, which then covers some three seconds
constexpr double kBaselineWeight = 0.2;
// Multiple of the fastest database's latency at which reads go elsewhere
constexpr double kLatencyAvoidFactor = 2.5;
// ms; and the latency has to exceed the fastest by at least this
constexpr double kLatencyAvoidMs = 20.0;
// Weight of one answer in the moving latency
constexpr double kLatencyWeight = 0.1;
// ms; a latency older than this is discarded, so that the database is tried again
constexpr Millis kLatencyTtlMs = 2000;

}  // namespace pebblespindle
