// How a replica comes to hold the state of the view: it says what it holds, and is sent what it lacks.
//
// A member asks its predecessor until it holds the state; a standby, which is no member, asks the tail, and
// the others in turn where that is silent, and keeps up with the chain. A state in chunks is kept apart, also
// on the disk, and takes the place of the rows only when it is complete; half a state is never used.
#pragma once
#include <optional>

#include "replication/local_state.h"
#include "replication/outbox.h"

namespace pebblespindle::replication {

class StateReceiver {
 public:
  StateReceiver(LocalState& state, Outbox& outbox, RequestId initial_request_id)
      : state_(state), outbox_(outbox), last_request_id_(initial_request_id) {}

  // Sends a request if one is due. committed: what this replica knows as committed.
  void request_state(Instant now, SequenceNumber committed);
  // The next request is due at once.
  void request_at_next_call() { requested_at_.reset(); }
  void on_new_view(Instant now);
  void on_state_loaded() { caught_up_view_ = 0; }
  bool is_reply_to_last_request(std::optional<RequestId> answers) const {
    return answers && *answers != 0 && *answers == last_request_id_;
  }
  // A standby holds the state as of the present view. True when that is new.
  bool mark_caught_up();
  ViewNumber caught_up_view() const { return caught_up_view_; }
  bool is_caught_up() const { return caught_up_view_ == state_.view.number; }

  enum class ChunkOutcome {
    kIgnored,
    kMoreNeeded,  // the next request is due at once
    kDropped,     // what was received is not a whole state
    kComplete,    // and stored
    kNotStored,   // the disk has refused it
  };
  ChunkOutcome on_chunk(const ReplicaId& from, StateChunk chunk);
  // What was taken with the last complete transfer, for the log.
  std::size_t received_row_count() const { return received_row_count_; }

 private:
  ReplicaId source(Instant now) const;
  bool expects(const ReplicaId& from, const StateChunk& chunk) const;
  ChunkOutcome finish(const TransferProgress& progress, const TransferEnd& end, WriteBatch batch);

  LocalState& state_;
  Outbox& outbox_;
  RequestId last_request_id_;
  std::optional<Instant> requested_at_;
  Instant source_since_ = 0;
  ViewNumber caught_up_view_ = 0;
  std::size_t received_row_count_ = 0;
};

}  // namespace pebblespindle::replication
