// Chain replication (van Renesse and Schneider): each member sends the rows that it has stored to its
// successor. Rows that the tail has stored are committed; Commit messages carry that back towards the head.
//
// Invariant: a member's rows are a prefix of its predecessor's. A member learns its successor's position only
// from the successor itself, and sends a StateQuery while it does not know it. Each message names its view;
// messages of other views are ignored.
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
  // The time since which rows that were sent to the successor have stayed unacknowledged; none while the
  // successor makes progress.
  std::optional<Instant> stalled_since() const { return stalled_since_; }

  void on_state_loaded();
  void on_new_view(Instant now);
  // Sends the successor all rows that it has not been sent yet, or a StateQuery if its position is unknown.
  void forward(Instant now);
  // Whether the rows continue the local history. A member that is not in sync yet takes only rows that start
  // exactly at its last sequence number.
  bool can_store(const Append& append) const;
  // Stores the rows that are not stored yet and marks a member as in sync with the present view. Returns ok
  // as well if nothing had to be stored.
  Status store(const Append& append);
  // Records that the tail has stored all rows up to `sequence` and tells the predecessor. Returns whether the
  // commit point rose.
  bool commit(Instant now, SequenceNumber sequence);
  bool accepts(const ReplicaId& from, const Commit& commit) const;
  // Called when the successor has reported that it holds the state of the view up to `sequence`.
  void on_successor_position(Instant now, SequenceNumber sequence);
  void on_successor_progress() { stalled_since_.reset(); }
  void mark_all_sent() { last_sent_sequence_ = state_.table.last_sequence(); }
  void record_progress(Instant now) { last_progress_ = now; }
  // Starts or resets stalled_since(). To be called at every tick, before the next view is planned.
  void track_stalled_successor(Instant now, bool holds_lease);
  // Asks the successor for its position again, and resends what it lacks, if no progress was made for
  // kSubmitRetryMs.
  void retry(Instant now, bool successor_in_sync);

 private:
  LocalState& state_;
  const StateSender& sender_;
  Outbox& outbox_;
  std::optional<SequenceNumber> last_sent_sequence_;  // none: the successor's position is not known
  SequenceNumber committed_ = 0;
  Instant last_progress_ = 0;
  std::optional<Instant> stalled_since_;
};

}  // namespace pebblespindle::replication
