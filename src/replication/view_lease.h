// Leases on membership: as a voter this replica grants them, as a member it holds them.
//
// A member acts (as head, as tail, and towards nodes) only while a majority of the present voters has granted
// it a lease in exactly this view; it stops kClockDriftMarginMs before the lease expires. A voter accepts a
// view that removes a member only once its own lease to that member has expired, and grants it none from then
// on; this holds for the voter itself too. So no two views are in effect at once. A lease counts from the
// sending of the heartbeat, by the holder's clock, so that network delay only shortens it. Assumption: steady
// clocks drift apart by less than kClockDriftMarginMs within kViewLeaseMs. (Lamport's leases combined with
// the reconfiguration of van Renesse and Schneider's chain replication; see docs/design.md.)
#pragma once
#include <map>
#include <optional>

#include "base/clock.h"
#include "replication/local_state.h"
#include "replication/peer_table.h"

namespace pebblespindle::replication {

class ViewLease {
 public:
  ViewLease(const LocalState& state, const PeerTable& peers, Instant started)
      : state_(state), peers_(peers), started_(started), voters_changed_at_(started) {}

  // Returns this voter's reply to a heartbeat; none if it may not grant a lease. Must also be called for a
  // sender that does not participate, as that sender has given its leases back.
  std::optional<LeaseGrant> grant(Instant now, const ReplicaId& from, const Heartbeat& heartbeat);
  void on_grant(Instant now, const ReplicaId& from, const LeaseGrant& grant);
  // Whether this member holds its lease now and for `guard` longer.
  bool is_held(Instant now, Millis guard = 0) const;
  // Stops this replica from using any lease granted so far, including grants that are still under way.
  void relinquish(Instant now);
  // Whether this voter must postpone accepting the view because a lease of a member that the view removes has
  // not expired. That member is granted no lease meanwhile, so that the wait ends.
  bool must_wait_for_expiry(Instant now, const View& next);
  void on_new_view(Instant now, bool voters_changed);

 private:
  struct Lease {
    std::optional<Instant> granted_at;         // granted by this voter, by its own clock
    std::optional<Instant> heartbeat_sent_at;  // of the heartbeat that was granted, by its sender's clock
    std::optional<Instant> withheld_until;
    std::optional<Instant> held_since;  // granted to this replica, by its own clock
  };
  bool may_still_grant(const ReplicaId& member) const;

  const LocalState& state_;
  const PeerTable& peers_;
  const Instant started_;
  Instant voters_changed_at_;
  std::optional<Instant> relinquished_at_;
  std::map<ReplicaId, Lease> leases_;  // keyed by the peer
};

}  // namespace pebblespindle::replication
