// Plans the next view: which members are removed, which standbys join, and who votes.
//
// A member is removed if it is silent, reports that it does not participate, stays without the state or
// without a lease although its peers are reachable, or does not acknowledge rows. A standby joins once it
// holds the state. At most one voter changes from view to view, so that any majority of the former voters
// intersects any majority of the next. ViewPlanner only plans; ViewChange obtains the agreement.
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
    bool leaving = false;                  // this replica wants to hand over its vote and exit
    std::optional<Instant> stalled_since;  // the successor acknowledges nothing since then
    bool accepted_view_is_stale = false;   // a view was accepted but has not been decided for too long
  };
  // Returns none if the present view needs no change, or no valid next view exists.
  std::optional<View> next_view(Instant now, const Conditions& conditions) const;
  // Records since when members lack the state of the view. To be called at every tick.
  void track_out_of_sync_members(Instant now);
  bool is_peer_in_sync(const ReplicaId& peer) const;
  bool has_all_voters() const { return state_.view.voters.size() >= target_voter_count_; }

 private:
  bool should_be_removed(Instant now, std::size_t position, const Conditions& conditions) const;
  bool could_have_state(Instant now, const ReplicaId& member) const;
  bool is_leaving(const ReplicaId& id, const Conditions& conditions) const;
  bool is_voter_planner(const View& next) const;
  // Each returns whether it has changed the view.
  bool replace_or_add_voter(Instant now, const Conditions& conditions, View& next,
                            std::size_t& needed_voters) const;
  bool add_members(Instant now, View& next, std::size_t needed_voters) const;

  const LocalState& state_;
  PeerTable& peers_;
  const std::size_t target_voter_count_;
};

}  // namespace pebblespindle::replication
