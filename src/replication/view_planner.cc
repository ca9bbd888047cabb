#include "replication/view_planner.h"

#include <algorithm>

#include "replication/timing.h"

namespace pebblespindle::replication {

bool ViewPlanner::is_peer_in_sync(const ReplicaId& peer) const {
  const Peer* known_peer = peers_.find(peer);
  return known_peer && known_peer->synced_view == state_.view.number && state_.view.has_member(peer);
}

bool ViewPlanner::is_leaving(const ReplicaId& id, const Conditions& conditions) const {
  if (id == state_.self) return conditions.leaving;
  const Peer* peer = peers_.find(id);
  return peer && peer->leaving;
}

// Whether a member had the chance to obtain the state: if its predecessor is silent or out of sync itself,
// the member is not at fault.
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

bool ViewPlanner::should_be_removed(Instant now, std::size_t position, const Conditions& conditions) const {
  const auto& members = state_.view.members;
  const ReplicaId& id = members[position].id;
  if (id != state_.self && peers_.is_lost(now, id, kPeerTimeoutMs)) return true;
  const auto is_overdue = [&](std::optional<Instant> since) {
    return since && now - *since > kPeerTimeoutMs;
  };
  if (const Peer* peer = peers_.find(id))
    if (peer->not_participating || is_overdue(peer->out_of_sync_since) ||
        is_overdue(peer->without_lease_since))
      return true;
  // The closer a member is to the tail, the sooner it reports a stalled successor: so the direct predecessor
  // of the faulty member reports it before members further up report a healthy one.
  const Millis patience = kPeerTimeoutMs + Millis(members.size() - position) * kPeerTimeoutMs / 2;
  return id == state_.view.successor(state_.self) && conditions.stalled_since &&
         now - *conditions.stalled_since > patience;
}

// The first member that has a vote plans the voters, as the head may have given its vote away.
bool ViewPlanner::is_voter_planner(const View& next) const {
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
    if (!should_be_removed(now, position, conditions)) next.members.push_back(view.members[position]);
  if (next.members.empty()) return std::nullopt;
  bool changed = next.members.size() != view.members.size();
  if (is_voter_planner(next)) {
    std::size_t needed_voters = 0;
    changed = replace_or_add_voter(now, conditions, next, needed_voters) || changed;
    changed = add_members(now, next, needed_voters) || changed;
  }
  // Voters that have accepted an undecided view withhold leases. If it stays undecided, a proposal is made
  // again to complete it.
  const bool undecided = state_.accepted_view && state_.accepted.view == next.number;
  if (undecided && conditions.accepted_view_is_stale) changed = true;
  if (!changed || next.members.size() < view.majority()) return std::nullopt;
  next.term = next.head() == view.head() ? view.term : next.number;
  return next;
}

// Replaces or adds one voter. A voter that wants to exit keeps its vote until a member that holds the state
// can take it. `needed_voters` returns how many standbys are still needed as future voters.
bool ViewPlanner::replace_or_add_voter(Instant now, const Conditions& conditions, View& next,
                                       std::size_t& needed_voters) const {
  const auto& voters = state_.view.voters;
  std::vector<ReplicaId> outgoing;
  for (auto& voter : voters) {
    const bool lost = voter != state_.self && peers_.is_lost(now, voter, kVoterReplacementMs);
    if (!next.has_member(voter) && (lost || is_leaving(voter, conditions))) outgoing.push_back(voter);
  }
  for (auto& voter : voters)
    if (next.has_member(voter) && is_leaving(voter, conditions)) outgoing.push_back(voter);
  const bool too_few = voters.size() < target_voter_count_;
  needed_voters = outgoing.size() + (too_few ? target_voter_count_ - voters.size() : 0);
  std::vector<ReplicaId> candidates;  // members that hold the state and have no vote yet
  for (auto& member : next.members) {
    if (state_.view.has_voter(member.id) || is_leaving(member.id, conditions)) continue;
    if (needed_voters > 0) --needed_voters;
    if (is_peer_in_sync(member.id)) candidates.push_back(member.id);
  }
  if (candidates.empty() || (outgoing.empty() && !too_few)) return false;
  if (too_few)
    next.voters.push_back(candidates.front());
  else
    std::replace(next.voters.begin(), next.voters.end(), outgoing.front(), candidates.front());
  std::sort(next.voters.begin(), next.voters.end());
  return true;
}

bool ViewPlanner::add_members(Instant now, View& next, std::size_t needed_voters) const {
  const View& view = state_.view;
  bool changed = false;
  for (auto& [id, peer] : peers_.all()) {
    if (view.has_member(id) || peer.not_participating || peer.leaving || !peer.last_heard) continue;
    if (now - *peer.last_heard > kHeartbeatMs * 2 || !peers_.is_current_id(id)) continue;
    if (now - *peer.heard_since < kJoinStableMs || peer.view != view.number) continue;
    // A standby must hold the state of this view, so that the chain need not wait for it. If too few members
    // are left for a valid view, there is no source of state and no chain that would wait, so it may join at
    // once.
    if (peer.caught_up_view != view.number && next.members.size() >= view.majority()) continue;
    if (!view.has_voter(id)) {
      if (needed_voters == 0) continue;
      --needed_voters;
    }
    next.members.push_back({id, next.number});
    changed = true;
  }
  return changed;
}

}  // namespace pebblespindle::replication
