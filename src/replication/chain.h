// Chain replication (van Renesse and Schneider): each member passes what it has stored to its successor; what
// the tail has stored is committed, and the word of that goes back to the head.
//
// Invariant: a member's rows are a prefix of its predecessor's. Where the successor stands is its own word: a
// member that does not know it asks. All messages name the view; others count for nothing.
#pragma once
#include <optional>

#include "replication/local_state.h"
#include "replication/outbox.h"
#include "replication/state_sender.h"

namespace pebblespindle::replication {

class Chain {
 public:
  Chain(LocalState& state, const StateSender& sender, Outbox& outbox)
      : state_(state), sender_(sender), outbox_(outbox) {}

  SequenceNumber committed() const { return committed_; }
  bool all_committed() const { return state_.in_sync() && committed_ == state_.table.last_sequence(); }
  // Since when the successor has stored nothing of what it was sent; none while it does.
  std::optional<Instant> stalled_since() const { return stalled_since_; }

  void on_state_loaded();
  void on_new_view(Instant now);
  // Sends the successor all that it has not been sent yet.
  void forward(Instant now);
  // Whether the rows follow on what is held here.
  bool can_store(const Append& append) const;
  // Stores the rows, and with them that the state of the view is held. Ok as well where there was nothing to
  // store.
  Status store(const Append& append);
  // All up to here is stored by the tail: passes it on. True when it was not known.
  bool commit(Instant now, SequenceNumber sequence);
  bool accepts(const ReplicaId& from, const Commit& commit) const;
  // The successor holds the state of the view up to `sequence`.
  void on_successor_position(Instant now, SequenceNumber sequence);
  void on_successor_progress() { stalled_since_.reset(); }
  void mark_all_sent() { sent_to_successor_ = state_.table.last_sequence(); }
  void record_progress(Instant now) { last_progress_ = now; }
  // Notes whether the successor answers. Call it at every tick, before a next view is planned.
  void track_stalled_successor(Instant now, bool holds_lease);
  // Nothing comes back: the successor is asked what it holds, and is sent what it lacks.
  void retry(Instant now, bool successor_in_sync);

 private:
  LocalState& state_;
  const StateSender& sender_;
  Outbox& outbox_;
  std::optional<SequenceNumber> sent_to_successor_;  // none: where it stands is not known
  SequenceNumber committed_ = 0;
  Instant last_progress_ = 0;
  std::optional<Instant> stalled_since_;
};

}  // namespace pebblespindle::replication
