// Leases of the members' places in the view: as a voter this replica grants them, as a member it holds them.
//
// A member acts (as the head, as the tail, towards nodes) only while a majority of the present voters has
// granted it its place in this very view; it stops kClockDriftMarginMs before that ends. A voter accepts a
// view that leaves a member out only once the lease that it gave it has ended, and gives none any more from
// then on, to itself neither. So no two views are acted on at once. Leases count from the sending of the
// heartbeat, by the clock of the holder: the way there and back only shortens them. Limit: steady clocks run
// alike within kClockDriftMarginMs over kViewLeaseMs. (Lamport's leases on top of the reconfiguration of van
// Renesse and Schneider's chain replication; docs/design.md.)
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

  // The answer of this voter to a heartbeat; none when it may not grant. Also for one that takes no part any
  // more: it has given its leases back.
  std::optional<LeaseGrant> grant(Instant now, const ReplicaId& from, const Heartbeat& heartbeat);
  void on_grant(Instant now, const ReplicaId& from, const LeaseGrant& grant);
  // Whether this member holds its place, and will for `guard` longer.
  bool is_held(Instant now, Millis guard = 0) const;
  // This replica acts on no lease that it was given, also on those that are on their way.
  void relinquish(Instant now);
  // Whether this voter has to wait before it accepts the view, for the end of a lease of a member that it
  // leaves out. That member gets no further lease meanwhile, so that the end comes.
  bool must_wait_for_expiry(Instant now, const View& next);
  void on_new_view(Instant now, bool voters_changed);

 private:
  struct Lease {
    std::optional<Instant> granted_at;         // by this voter, by its own clock
    std::optional<Instant> heartbeat_sent_at;  // the heartbeat that was granted, by the clock of its sender
    std::optional<Instant> withheld_until;
    std::optional<Instant> held_since;  // granted to this replica, by its own clock
  };
  bool still_grants(const ReplicaId& member) const;

  const LocalState& state_;
  const PeerTable& peers_;
  const Instant started_;
  Instant voters_changed_at_;
  std::optional<Instant> relinquished_at_;
  std::map<ReplicaId, Lease> leases_;  // by the other side
};

}  // namespace pebblespindle::replication
