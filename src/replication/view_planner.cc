#include "replication/view_planner.h"

#include <algorithm>

#include "replication/timing.h"

namespace pebblespindle::replication {

bool ViewPlanner::is_peer_in_sync(const ReplicaId& peer) const {
  const Peer* known = peers_.find(peer);
  return known && known->synced_view == state_.view.number && state_.view.has_member(peer);
}

bool ViewPlanner::is_leaving(const ReplicaId& id, const Conditions& conditions) const {
  if (id == state_.self) return conditions.leaving;
  const Peer* peer = peers_.find(id);
  return peer && peer->leaving;
}

// A member behind one that has no state itself, or is silent, can't be blamed for having none.
bool ViewPlanner::could_have_state(Instant now, const ReplicaId& member) const {
  const ReplicaId predecessor = state_.view.predecessor(member);
  if (predecessor.empty()) return true;
  if (predecessor == state_.self) return state_.in_sync();
  return is_peer_in_sync(predecessor) && peers_.heard_within(now, predecessor, 2 * kHeartbeatMs);
}

void ViewPlanner::track_out_of_sync_members(Instant now) {
  for (auto& [id, peer] : peers_.all()) {
    const bool behind = state_.view.has_member(id) && peer.last_heard &&
                        peer.synced_view != state_.view.number && could_have_state(now, id);
    if (!behind)
      peer.out_of_sync_since.reset();
    else if (!peer.out_of_sync_since)
      peer.out_of_sync_since = now;
  }
}

bool ViewPlanner::is_away(Instant now, std::size_t position, const Conditions& conditions) const {
  const auto& members = state_.view.members;
  const ReplicaId& id = members[position].id;
  if (id != state_.self && peers_.is_lost(now, id, kPeerTimeoutMs)) return true;
  const auto longer = [&](std::optional<Instant> since) { return since && now - *since > kPeerTimeoutMs; };
  if (const Peer* peer = peers_.find(id))
    if (peer->not_participating || longer(peer->out_of_sync_since) || longer(peer->without_lease_since))
      return true;
  // The nearer to the tail, the sooner a stall is told, so that the member at fault is named by the one
  // before it.
  const Millis patience = kPeerTimeoutMs + Millis(members.size() - position) * kPeerTimeoutMs / 2;
  return id == state_.view.successor(state_.self) && conditions.stalled_since &&
         now - *conditions.stalled_since > patience;
}

// The first member with a vote sees to the voters: the head may have given its own away.
bool ViewPlanner::plans_voters(const View& next) const {
  auto first = std::find_if(next.members.begin(), next.members.end(),
                            [&](auto& member) { return state_.view.has_voter(member.id); });
  return first != next.members.end() && first->id == state_.self;
}

std::optional<View> ViewPlanner::next_view(Instant now, const Conditions& conditions) const {
  const View& view = state_.view;
  View next;
  next.number = view.number + 1;
  next.voters = view.voters;
  for (std::size_t position = 0; position < view.members.size(); ++position)
    if (!is_away(now, position, conditions)) next.members.push_back(view.members[position]);
  if (next.members.empty()) return std::nullopt;
  bool changed = next.members.size() != view.members.size();
  if (plans_voters(next)) {
    std::size_t seats = 0;
    changed = change_voter(now, conditions, next, seats) || changed;
    changed = add_members(now, next, seats) || changed;
  }
  // A view that was accepted but not decided keeps leases from others: it is seen through.
  const bool undecided = state_.accepted_view && state_.accepted.view == next.number;
  if (undecided && conditions.accepted_view_is_stale) changed = true;
  if (!changed || next.members.size() < view.majority()) return std::nullopt;
  next.term = next.head() == view.head() ? view.term : next.number;
  return next;
}

// A voter that wants to end keeps its vote until a member that holds the state takes it. seats: how many more
// voters may still be needed.
bool ViewPlanner::change_voter(Instant now, const Conditions& conditions, View& next,
                               std::size_t& seats) const {
  const auto& voters = state_.view.voters;
  std::vector<ReplicaId> gone;
  for (auto& voter : voters) {
    const bool lost = voter != state_.self && peers_.is_lost(now, voter, kVoterReplacementMs);
    if (!next.has_member(voter) && (lost || is_leaving(voter, conditions))) gone.push_back(voter);
  }
  for (auto& voter : voters)
    if (next.has_member(voter) && is_leaving(voter, conditions)) gone.push_back(voter);
  const bool too_few = voters.size() < target_voter_count_;
  seats = gone.size() + (too_few ? target_voter_count_ - voters.size() : 0);
  std::vector<ReplicaId> ready;  // hold the state, do not vote yet
  for (auto& member : next.members) {
    if (state_.view.has_voter(member.id) || is_leaving(member.id, conditions)) continue;
    if (seats > 0) --seats;
    if (is_peer_in_sync(member.id)) ready.push_back(member.id);
  }
  if (ready.empty() || (gone.empty() && !too_few)) return false;
  if (too_few)
    next.voters.push_back(ready.front());
  else
    std::replace(next.voters.begin(), next.voters.end(), gone.front(), ready.front());
  std::sort(next.voters.begin(), next.voters.end());
  return true;
}

bool ViewPlanner::add_members(Instant now, View& next, std::size_t seats) const {
  const View& view = state_.view;
  bool changed = false;
  for (auto& [id, peer] : peers_.all()) {
    if (view.has_member(id) || peer.not_participating || peer.leaving || !peer.last_heard) continue;
    if (now - *peer.last_heard > kHeartbeatMs * 2 || !peers_.is_current_id(id)) continue;
    if (now - *peer.heard_since < kJoinStableMs || peer.view != view.number) continue;
    // It holds the state as of this view, so the chain does not wait for it. Where too few are left for a
    // view there is nobody to take the state from, and nothing that would wait.
    if (peer.caught_up_view != view.number && next.members.size() >= view.majority()) continue;
    if (!view.has_voter(id)) {
      if (seats == 0) continue;
      --seats;
    }
    next.members.push_back({id, next.number});
    changed = true;
  }
  return changed;
}

}  // namespace pebblespindle::replication
