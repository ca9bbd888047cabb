// Periods and time-outs of the replication protocol, in milliseconds.
#pragma once
#include "base/types.h"

namespace pebblespindle::replication {

// Heartbeat interval: replicas agree on a view within a few heartbeats, while the traffic between zones stays
// small.
constexpr Millis kHeartbeatMs = 250;
// A replica is suspected after four missed heartbeats; the value stays below the ContactMs setting.
constexpr Millis kPeerTimeoutMs = 1000;
// A voter that is silent for this long loses its vote to a standby, if there is one; below the ContactMs
// setting.
constexpr Millis kVoterReplacementMs = 2500;
// Just below kPeerTimeoutMs: a silent replica's lease has ended by the time it is suspected, so removing it
// needs no further wait.
constexpr Millis kViewLeaseMs = 950;
// The leader stops acting this long before its lease ends.
constexpr Millis kLeaderGuardMs = 250;
// Enough for a few round trips and disk syncs between zones; after that a new proposal is made.
constexpr Millis kProposalRetryMs = 300;
// A returning replica must be heard for more than two heartbeats before it joins.
constexpr Millis kJoinStableMs = 600;
// A few round trips: a member without the view's state asks for it again after this time.
constexpr Millis kStateRequestMs = 100;
// A standby follows the chain up to a second behind, which keeps its traffic small.
constexpr Millis kStandbyRequestMs = 1000;
// A submission or read that is unanswered for this long is sent again.
constexpr Millis kSubmitRetryMs = 300;
// Below the second of silence that callers count as a failure.
constexpr Millis kSubmitTimeoutMs = 900;
// Interval between attempts to write to a disk that refused a write.
constexpr Millis kDiskRetryMs = 300;
// Tombstones are kept for at least this long: no database call lives longer, and no node is disconnected for
// longer.
constexpr Millis kCompactAfterMs = 600000;
// Interval of compaction.
constexpr Millis kCompactIntervalMs = 60000;

}  // namespace pebblespindle::replication
