// Decides which view should come next: who is left out, who joins, and who votes.
//
// A member is left out when it is silent, says that it takes no part, stays without the state or without a
// lease though others are heard, or passes nothing on. A standby joins once it holds the state. At most one
// voter changes from view to view, so that any majority of the former voters meets any of the next. It only
// plans: ViewChange gets it agreed on.
#pragma once
#include <optional>

#include "replication/local_state.h"
#include "replication/peer_table.h"

namespace pebblespindle::replication {

class ViewPlanner {
 public:
  ViewPlanner(const LocalState& state, PeerTable& peers, std::size_t target_voter_count)
      : state_(state), peers_(peers), target_voter_count_(target_voter_count) {}

  struct Conditions {
    bool leaving = false;                  // this replica wants to hand over and end
    std::optional<Instant> stalled_since;  // the successor stores nothing of what it was sent
    bool accepted_view_is_stale = false;   // accepted, but not decided for too long
  };
  // None when the present view is fine, or no next one can be had.
  std::optional<View> next_view(Instant now, const Conditions& conditions) const;
  // Notes since when members lack the view's state. Call it at every tick.
  void track_out_of_sync_members(Instant now);
  bool is_peer_in_sync(const ReplicaId& peer) const;
  bool has_all_voters() const { return state_.view.voters.size() >= target_voter_count_; }

 private:
  bool is_away(Instant now, std::size_t position, const Conditions& conditions) const;
  bool could_have_state(Instant now, const ReplicaId& member) const;
  bool is_leaving(const ReplicaId& id, const Conditions& conditions) const;
  bool plans_voters(const View& next) const;
  // Each returns whether it changed the view.
  bool change_voter(Instant now, const Conditions& conditions, View& next, std::size_t& seats) const;
  bool add_members(Instant now, View& next, std::size_t seats) const;

  const LocalState& state_;
  PeerTable& peers_;
  const std::size_t target_voter_count_;
};

}  // namespace pebblespindle::replication
