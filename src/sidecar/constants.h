// Limits, timeouts and weights of the sidecar, each with its unit and the reason for its value.
#pragma once
#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace pebblespindle {

// Bytes; a frame between two sidecars, which holds a whole request or response
constexpr std::size_t kMaxFrameBytes = 16 << 20;
// Bytes; the body of a request or response, held in memory as a whole; only a few of these fit into a
// sidecar's memory
constexpr std::size_t kMaxCallBytes = 8 << 20;
// Bytes; the head of a database's response, which has far fewer fields
constexpr std::size_t kMaxResponseHeadBytes = 65536;
// HTTP status of a request whose processing has thrown; it may have run
constexpr int kInternalError = 500;
// Nesting levels of a frame, which holds lists of fields and nothing deeper
constexpr int kMaxFrameDepth = 4;
// ms; longest time that a peer's frame may name: no client waits an hour
constexpr Millis kMaxWaitMs = 3'600'000;
// Share of the fleet's retry budget that this node uses; the rest covers sliding windows that are not aligned
// with this node's
constexpr double kRetryBudgetShare = 0.75;
// ms; resolution of the retry window, a hundredth of the default window, which is precise enough at its edge
constexpr Millis kRetryBudgetSlotMs = 100;
// ms; many round trips; after that another database is tried
constexpr Millis kPeerConnectTimeoutMs = 400;
// ms; a link to another sidecar counts as dead if sent bytes stay unacknowledged this long
constexpr Millis kPeerLinkTimeoutMs = 1500;
// ms; first pause after a sidecar could not be reached; doubles with each failure
constexpr Millis kFirstPeerBackoffMs = 100;
// ms; longest pause before another attempt to reach a sidecar, which costs at most one try of one request
constexpr Millis kMaxPeerBackoffMs = 1600;
// ms; a database that reported to be full counts as full this long, about a third of a request's work
constexpr Millis kFullReportTtlMs = 60;
// ms; upper bound of the above for long queues: the database may have become free long before
constexpr Millis kMaxFullReportTtlMs = 500;
// ms; a refusal because the wait would be too long counts this long, about the time a request takes
constexpr Millis kNoRoomTtlMs = 200;
// ms; half-life of a reported load, which loses weight against the assumed utilization
constexpr double kLoadHalfLifeMs = 300.0;
// Share of the slots that a database is assumed to use without a recent report
constexpr double kAssumedUtilization = 0.45;
// Share of the slots; load difference from which a database in another zone is preferred
constexpr double kOtherZoneCost = 0.35;
// Refusals by full databases before a request is queued at one of them
constexpr int kMaxFullRefusals = 4;
// Databases compared in each zone; with more, all nodes would choose the same one
constexpr std::size_t kCandidatesPerZone = 4;
// Multiples of the slots; load added to a database that always fails, less in proportion to its failures
constexpr double kFailureCost = 6.0;
// ms; each step of lower priority orders a request as if its latency target ended this much later
constexpr Millis kPriorityStepMs = 60;
// Highest priority number in a peer's frame; more than any configuration has
constexpr std::int64_t kMaxPriority = 100;
// Multiple of the mean service time that has to remain of the latency target when a request starts, as its
// work may take longer than that of most
constexpr double kServiceTimeMargin = 2.0;
// Share of the latency target; a request that is still queued by then is refused
constexpr double kMaxQueueShare = 0.7;
// ms; a hedged request is not sent to a second database sooner
constexpr Millis kMinHedgeDelayMs = 40;
// Mean deviations above the mean response time after which a request is hedged
constexpr double kHedgeDeviations = 4.0;
// Share of the latency target after which a request is hedged while no response time is known
constexpr double kHedgeTargetShare = 0.6;
// Weight of one response in the moving mean and deviation of response times
constexpr double kResponseTimeWeight = 0.05;
// ms; subtracted from the deadline for the way of the response back
constexpr Millis kReturnPathMs = 4;
// Weight of one result in the moving averages of a database; about the last twenty results count
constexpr double kResultWeight = 0.1;
// ms; interval of probe requests to a database that is down
constexpr Millis kDownProbeIntervalMs = 250;
// Consecutive requests without a response after which a database counts as down
constexpr int kTimeoutsUntilDown = 3;
// Consecutive failures after which a database counts as down; few enough false alarms for one that fails two
// requests of five
constexpr int kFailuresUntilDown = 6;
// ms; connecting to the database on the same machine; a request occupies a slot meanwhile
constexpr Millis kAppConnectTimeoutMs = 500;
// Share of the idle time after which a connection was found dead, up to which others are used
constexpr double kTrustedIdleShare = 0.7;
// ms; idle time up to which connections are used before any was found dead
constexpr Millis kInitialIdleLimitMs = 20000;
// ms; connections idle for less than this are always used
constexpr Millis kMinIdleLimitMs = 50;
// ms; Retry-After of a refused client, about half the work of a request
constexpr Millis kRetryAfterMs = 80;
// ms; an idempotent request whose caller has left may run this long before it is aborted: most end sooner,
// which keeps the connection
constexpr Millis kAbandonedRequestLimitMs = 400;
// ms; a heartbeat that the core has not answered by then gets a 503: callers treat one second without an
// answer as a failure
constexpr Millis kHeartbeatTimeoutMs = 900;

}  // namespace pebblespindle
