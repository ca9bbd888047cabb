// Limits, time-outs and weights of the sidecar. Each line above a constant says its unit and the reason for
// its value.
#pragma once
#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace pebblespindle {

// Bytes; a request or answer between two sidecars, whole
constexpr std::size_t kMaxFrameBytes = 16 << 20;
// Bytes; a body held whole: a few fit into a sidecar's memory
constexpr std::size_t kMaxCallBytes = 8 << 20;
// Bytes; a database's answer has a few fields, never as many as this
constexpr std::size_t kMaxResponseHeadBytes = 65536;
// Levels; a frame holds lists of fields and nothing deeper
constexpr int kMaxFrameDepth = 4;
// ms; no client waits an hour: what a peer's frame says beyond it is a fault
constexpr Millis kMaxWaitMs = 3'600'000;
// Of the fleet's budget: the rest is for windows that slide unlike ours
constexpr double kRetryBudgetShare = 0.75;
// ms; a hundredth of a window: its edge is sharp enough
constexpr Millis kRetryBudgetSlotMs = 100;
// ms; many round trips; then another database is tried
constexpr Millis kPeerConnectTimeoutMs = 400;
// ms; unacknowledged bytes on a link between sidecars: it is dead
constexpr Millis kPeerLinkTimeoutMs = 1500;
// ms; a sidecar that could not be reached is left alone this long
constexpr Millis kFirstPeerBackoffMs = 100;
// ms; at most: one try of one request
constexpr Millis kMaxPeerBackoffMs = 1600;
// ms; word of a full database counts this long: a third of its work
constexpr Millis kFullReportTtlMs = 60;
// ms; at most: it may have become free long before
constexpr Millis kMaxFullReportTtlMs = 500;
// ms; word that a wait would be too long counts this long: about as long as a request takes
constexpr Millis kNoRoomTtlMs = 200;
// ms; half of what was told of a load has passed after this
constexpr double kLoadHalfLifeMs = 300.0;
// Of the slots; what a database is thought to run without word
constexpr double kAssumedUtilization = 0.45;
// Of the slots; a database in another zone is chosen beyond this
constexpr double kOtherZoneCost = 0.35;
// Full databases met before a request waits at one of them
constexpr int kMaxFullRefusals = 4;
// Databases compared in a zone; more would send all to the same
constexpr std::size_t kCandidatesPerZone = 4;
// Of the slots; what a database that always fails costs more
constexpr double kFailureCost = 6.0;
// ms; a rank below another counts as an aim that ends this much later
constexpr Millis kPriorityStepMs = 60;
// Ranks; more than any configuration has
constexpr std::int64_t kMaxPriority = 100;
// Of the mean; what is left of the aim when a request begins: its work may take longer than most
constexpr double kServiceTimeMargin = 2.0;
// Of the aim; a request that has not begun to run by then is refused
constexpr double kMaxQueueShare = 0.7;
// ms; no second database is asked sooner
constexpr Millis kMinHedgeDelayMs = 40;
// Mean deviations over the mean answer before one is missed
constexpr double kHedgeDeviations = 4.0;
// Of the aim; before any answer is known, one is missed after this
constexpr double kHedgeTargetShare = 0.6;
// Weight of one answer in mean and deviation
constexpr double kResponseTimeWeight = 0.05;
// ms; taken off for the way back from the database
constexpr Millis kReturnPathMs = 4;
// Weight of one result; the last twenty count
constexpr double kResultWeight = 0.1;
// ms; a database that is down is tried again
constexpr Millis kDownProbeIntervalMs = 250;
// Requests in a row without an answer: it is down
constexpr int kTimeoutsUntilDown = 3;
// Failures in a row: one that fails two of five is seldom taken for one that is down
constexpr int kFailuresUntilDown = 6;
// ms; on this machine; the database counts this as part of its slots
constexpr Millis kAppConnectTimeoutMs = 500;
// Of the idle time at which a connection was found dead: others are used up to this
constexpr double kTrustedIdleShare = 0.7;
// ms; a connection is kept unused before the database has told
constexpr Millis kInitialIdleLimitMs = 20000;
// ms; a younger one is trusted whatever was met
constexpr Millis kMinIdleLimitMs = 50;
// ms; a refused client comes back after about half a request's work
constexpr Millis kRetryAfterMs = 80;
// ms; a request whose caller has left may run on so long, since its connection is worth keeping
constexpr Millis kAbandonedRequestLimitMs = 400;
// ms; callers count a second of silence as a failure
constexpr Millis kHeartbeatTimeoutMs = 900;

}  // namespace pebblespindle
