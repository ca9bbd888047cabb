#include "replication/view_lease.h"

#include <algorithm>

#include "base/clock.h"
#include "replication/timing.h"

namespace pebblespindle::replication {

// Once this voter has accepted a next view, that view may be decided. From then on the voter grants no lease
// to a member that the view removes, and none to anyone if the view changes the voters. This holds for the
// voter itself too.
bool ViewLease::may_still_grant(const ReplicaId& member) const {
  const bool undecided = state_.accepted_view && state_.accepted.view == state_.view.number + 1;
  return !undecided ||
         (state_.accepted_view->has_member(member) && state_.accepted_view->voters == state_.view.voters);
}

std::optional<LeaseGrant> ViewLease::grant(Instant now, const ReplicaId& from, const Heartbeat& heartbeat) {
  Lease& lease = leases_[from];
  if (heartbeat.not_participating) {
    // Ignored if the heartbeat is older than the one granted, as it may be a delayed one of a former process.
    if (!lease.heartbeat_sent_at || heartbeat.sent_at >= *lease.heartbeat_sent_at) lease.granted_at.reset();
    return std::nullopt;
  }
  const View& view = state_.view;
  if (heartbeat.view != view.number || !view.has_member(from) || !state_.may_vote()) return std::nullopt;
  if (lease.withheld_until && now < *lease.withheld_until) return std::nullopt;
  if (!may_still_grant(from)) return std::nullopt;
  // A member without the view's state gets no lease, so that it can be removed and added again without a
  // wait.
  if (heartbeat.synced_view != view.number) return std::nullopt;
  lease.granted_at = now;
  lease.heartbeat_sent_at = heartbeat.sent_at;
  return LeaseGrant{view.number, heartbeat.sent_at};
}

void ViewLease::on_grant(Instant now, const ReplicaId& from, const LeaseGrant& grant) {
  if (grant.view != state_.view.number) return;
  const Instant since = grant.heartbeat_sent_at;
  if (since > now || (relinquished_at_ && since <= *relinquished_at_)) return;
  Lease& lease = leases_[from];
  lease.held_since = lease.held_since ? std::max(*lease.held_since, since) : since;
}

bool ViewLease::is_held(Instant now, Millis guard) const {
  if (!state_.in_sync()) return false;
  std::size_t voters = state_.view.has_voter(state_.self) && may_still_grant(state_.self) ? 1 : 0;
  for (auto& [id, lease] : leases_) {
    if (id == state_.self || !lease.held_since || !state_.view.has_voter(id)) continue;
    if (now < *lease.held_since + kViewLeaseMs - kClockDriftMarginMs - guard) ++voters;
  }
  return voters >= state_.view.majority();
}

void ViewLease::relinquish(Instant now) {
  relinquished_at_ = now;
  for (auto& [id, lease] : leases_) lease.held_since.reset();
}

bool ViewLease::must_wait_for_expiry(Instant now, const View& next) {
  for (auto& member : state_.view.members) {
    if (next.has_member(member.id) || member.id == state_.self) continue;
    Lease& lease = leases_[member.id];
    Instant latest_grant = started_;
    if (lease.granted_at) latest_grant = std::max(latest_grant, *lease.granted_at);
    // Voters of former views may have granted the member a lease. A member that has reported in this view
    // that it does not participate uses none of those.
    const Peer* peer = peers_.find(member.id);
    const bool relinquished = peer && peer->not_participating && peer->view == state_.view.number;
    if (!relinquished) latest_grant = std::max(latest_grant, voters_changed_at_);
    if (now < latest_grant + kViewLeaseMs + kClockDriftMarginMs) {
      lease.withheld_until = now + 2 * kViewLeaseMs;
      return true;
    }
  }
  return false;
}

void ViewLease::on_new_view(Instant now, bool voters_changed) {
  if (voters_changed) voters_changed_at_ = now;
  for (auto& [id, lease] : leases_) {
    lease.held_since.reset();
    lease.withheld_until.reset();
  }
}

}  // namespace pebblespindle::replication
