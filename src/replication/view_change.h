// Agreement on the next view: single-decree Paxos for each view number, among the voters of the view before.
//
// Prepare, Promise, Accept, Accepted and Decision are as in Lamport's "Paxos Made Simple". A voter stores
// what it promises and accepts on disk before it replies. A view is proposed only if its head has held the
// state of the present view since it joined, so that no committed change is lost. A voter accepts a view only
// once the leases of the members that the view removes have expired (ViewLease).
#pragma once
#include <map>
#include <optional>
#include <set>

#include "replication/local_state.h"
#include "replication/outbox.h"
#include "replication/peer_table.h"
#include "replication/view_lease.h"

namespace pebblespindle::replication {

class ViewChange {
 public:
  ViewChange(LocalState& state, const PeerTable& peers, ViewLease& lease, Outbox& outbox)
      : state_(state), peers_(peers), lease_(lease), outbox_(outbox) {}

  // Proposes the view, unless this replica made a proposal too recently (kProposalRetryMs).
  void propose(Instant now, const View& next);
  bool is_proposal_older_than(Instant now, Millis age) const {
    return !last_proposal_at_ || *last_proposal_at_ + age < now;
  }
  void abandon_proposal() { accepting_ = false; }

  void on_prepare(const ReplicaId& from, const Prepare& prepare);
  void on_promise(const ReplicaId& from, const Promise& promise);
  void on_accept(Instant now, const ReplicaId& from, const Accept& accept);
  // Returns the view if this message completes the majority that decides it. The Decision has been sent to
  // the other replicas by then.
  std::optional<View> on_accepted(const ReplicaId& from, const Accepted& accepted);

 private:
  ProposalNumber next_proposal_number(ViewNumber view) const;
  std::optional<View> value_to_propose() const;
  bool head_has_committed_state(const View& next) const;

  LocalState& state_;
  const PeerTable& peers_;
  ViewLease& lease_;
  Outbox& outbox_;
  std::optional<Instant> last_proposal_at_;
  ProposalNumber proposal_number_ = 0;
  ViewNumber proposed_view_number_ = 0;
  View proposal_;
  bool accepting_ = false;  // a majority has promised, and Accept has been sent
  std::map<ReplicaId, Promise> promises_;
  std::set<ReplicaId> accepted_by_;
};

}  // namespace pebblespindle::replication
