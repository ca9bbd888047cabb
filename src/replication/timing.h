// Periods and time-outs of the replication protocol, in milliseconds.
#pragma once
#include "base/types.h"

namespace pebblespindle::replication {

// Replicas agree within a few heartbeats, at few bytes between zones.
constexpr Millis kHeartbeatMs = 250;
// Four missed heartbeats: a replica is suspected, still inside the page's ContactMs.
constexpr Millis kPeerTimeoutMs = 1000;
// A voter that is silent this long loses its vote to a newcomer, if there is one: inside ContactMs.
constexpr Millis kVoterReplacementMs = 2500;
// Ends as a silent replica is suspected, so that the wait for its end costs nothing.
constexpr Millis kViewLeaseMs = 950;
// The leader stops acting this long before its lease ends.
constexpr Millis kLeaderGuardMs = 250;
// A few round trips and syncs between zones; then a proposal is made anew.
constexpr Millis kProposalRetryMs = 300;
// A returning replica is heard for two heartbeats before it joins.
constexpr Millis kJoinStableMs = 600;
// A member without the view's state asks for it again after some round trips.
constexpr Millis kStateRequestMs = 100;
// A standby keeps up with the chain at few bytes, a second behind.
constexpr Millis kStandbyRequestMs = 1000;
// A request that is unanswered this long is sent again.
constexpr Millis kSubmitRetryMs = 300;
// Callers count a second of silence as a failure.
constexpr Millis kSubmitTimeoutMs = 900;
// Pause between attempts on a disk that refused a write.
constexpr Millis kDiskRetryMs = 300;
// Tombstones are kept this long: no call of a database lives longer, nor does a node's break.
constexpr Millis kCompactAfterMs = 600000;
// How often tombstones are looked through.
constexpr Millis kCompactIntervalMs = 60000;

}  // namespace pebblespindle::replication
