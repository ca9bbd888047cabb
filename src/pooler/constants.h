// Limits, time-outs and weights of the pooler. Each line above a constant says its unit and the reason for
// its value.
#pragma once
#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace pebblespindle {

// ms; subtracted from stale_ms for the way to the database
constexpr Millis kFreshnessMarginMs = 40;
// ms; one kept position per step bounds the ring's memory
constexpr Millis kMinObservationSpacingMs = 20;
// ms; sessions wait this long for a pooler that just started; clients wait two seconds for IDLE
constexpr Millis kInitialFeedWaitMs = 1000;
// ms; a node whose lease ended this long ago asks for no new clients: others may serve them
constexpr Millis kReadyAfterLeaseEndMs = 300;
// ms; a primary that others go to, unreachable from here this long: clients are sent elsewhere
constexpr Millis kPrimaryUnreachableMs = 2500;
// ms; after CONNLIMIT: other nodes hand connections back within a few answers
constexpr Millis kConnectionLimitPauseMs = 25;
// Connections a node; below this not every node can keep its own
constexpr double kScarceConnectionsPerNode = 2.0;
// Connections a node opens to one database where they are scarce
constexpr std::size_t kMaxScarceConnections = 3;
// ms; how often unused connections are looked through
constexpr Millis kIdleCheckIntervalMs = 250;
// Of the places at a tight database: what nodes keep; the rest is for the others
constexpr double kKeptConnectionShare = 0.8;
// ms; a closed-off database is first tried again after this
constexpr Millis kFirstProbeDelayMs = 50;
// ms; trials are spaced at most this far: one connection each
constexpr Millis kMaxProbeIntervalMs = 1600;
// ms; a replica that answered LAGGING gets time to apply
constexpr Millis kLaggingAvoidMs = 60;
// ms; stop this long before DrainMs runs out
constexpr Millis kDrainMarginMs = 1000;
// ms; running work may end at a primary that hands over
constexpr Millis kHandOverDrainMs = 250;
// ms; pooled connections unused this long are closed
constexpr Millis kIdleConnectionTimeoutMs = 20000;
// ms; no read is given up sooner than this
constexpr Millis kMinSoftTimeoutMs = 60;
// ms; the same before any latency has been learned
constexpr Millis kInitialSoftTimeoutMs = 250;
// Times the longest answer of late before one is missed
constexpr double kSoftTimeoutFactor = 1.5;
// Per answer; a slow spell is forgotten after some hundred answers
constexpr double kWorstLatencyDecay = 0.995;
// Connections left for the core's own calls and for joiners
constexpr int kReservedConnections = 4;
// Sessions a pooler accepts; below its descriptor limit
constexpr int kMaxSessions = 3500;
// ms; a statement whose client has left may run on so long, since its connection is worth keeping
constexpr Millis kAbandonedStatementTimeoutMs = 400;
// ms; a client that a node refuses as it ends need not wait: other nodes serve it
constexpr Millis kShutdownRetryMs = 1;
// Values or prepared names one session may hold
constexpr std::size_t kMaxSessionValues = 256;
// ms or rights; beyond what any clock or sum of a core comes to
constexpr std::int64_t kMaxReportedValue = std::int64_t(1) << 52;
// Nodes; more than a fleet has: a figure that cannot be is cut
constexpr std::size_t kMaxNodes = 100000;
// Bytes; values and prepared shapes of one session: what one message could bring
constexpr std::size_t kMaxSessionBytes = 1 << 20;
// Bytes; rows of one answer, held until it has ended whole
constexpr std::size_t kMaxAnswerBytes = 8 << 20;
// Prepared shapes a node keeps names for; then new names are drawn
constexpr std::size_t kMaxPreparedNames = 20000;
// Prepared shapes on one server connection before RESET
constexpr std::size_t kMaxPreparedPerConnection = 200;
// ms; a round trip to a core, several times over; then the primary is asked
constexpr Millis kPositionQueryTimeoutMs = 15;
// ms; a database not heard for this long before is asked seldom here
constexpr Millis kRarelyUsedAfterMs = 2000;
// Unanswered requests in a row before a database is reported
constexpr int kTimeoutsUntilReport = 2;
// Weight of one request; the last dozen count
constexpr double kFailureRateWeight = 0.15;
// Share failing of late; beyond it reads go to its peers first
constexpr double kMaxFailureRate = 0.35;
// ms; then it is tried again
constexpr Millis kFirstEjectionMs = 1000;
// ms; until the zone's next window has told whether it fails still
constexpr Millis kReportedEjectionMs = 2500;
// ms; the longest pause of one that comes and goes
constexpr Millis kMaxEjectionMs = 8000;
// ms; some ten answers a node at ordinary rates
constexpr Millis kLatencyWindowMs = 500;
// Answers; fewer say nothing of a window
constexpr int kMinAnswersInWindow = 5;
// Times the usual median; half of the nodes must agree on it
constexpr double kSlowLatencyFactor = 2.7;
// ms; and at least this much longer
constexpr double kMinSlowdownMs = 15.0;
// Times the usual answers: then it is busy, not slow
constexpr double kBusyThroughputFactor = 1.3;
// Weight of a window; the usual is some three seconds long
constexpr double kBaselineWeight = 0.2;
// Times the best database's time before reads go elsewhere
constexpr double kLatencyAvoidFactor = 2.5;
// ms; and at least this much longer
constexpr double kLatencyAvoidMs = 20.0;
// Weight of one answer
constexpr double kLatencyWeight = 0.1;
// ms; a database not asked for this long is tried again
constexpr Millis kLatencyTtlMs = 2000;

}  // namespace pebblespindle
