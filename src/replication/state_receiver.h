// The receiving side of state transfer: the replica reports what it holds and is sent what it lacks.
//
// A member asks its predecessor until it holds the state of the view. A standby, which is not a member, asks
// the tail (and the other members in turn while that is silent) and then keeps following the chain. A state
// that comes in chunks is staged apart from the rows, also on disk, and replaces them only once it is
// complete; a partial state is never used.
#pragma once
#include <optional>

#include "replication/local_state.h"
#include "replication/outbox.h"

namespace pebblespindle::replication {

class StateReceiver {
 public:
  StateReceiver(LocalState& state, Outbox& outbox, RequestId initial_request_id)
      : state_(state), outbox_(outbox), last_request_id_(initial_request_id) {}

  // Sends a StateRequest if one is due. committed: the commit point that this replica knows.
  void request_state(Instant now, SequenceNumber committed);
  // Makes the next call of request_state() send a request if this replica needs the state.
  void request_at_next_call() { requested_at_.reset(); }
  void on_new_view(Instant now);
  void on_state_loaded() { caught_up_view_ = 0; }
  bool is_reply_to_last_request(std::optional<RequestId> in_reply_to) const {
    return in_reply_to && *in_reply_to != 0 && *in_reply_to == last_request_id_;
  }
  // Records that this standby holds the state as of the present view. Returns whether that is new.
  bool mark_caught_up();
  ViewNumber caught_up_view() const { return caught_up_view_; }
  bool is_caught_up() const { return caught_up_view_ == state_.view.number; }

  enum class ChunkOutcome {
    kIgnored,
    kMoreNeeded,  // the next request is due at once
    kDropped,     // the received state was incomplete and has been discarded
    kComplete,    // the state is complete and stored
    kNotStored,   // the disk refused the write
  };
  ChunkOutcome on_chunk(const ReplicaId& from, StateChunk chunk);
  // The number of rows received in the last complete transfer, for the log.
  std::size_t received_row_count() const { return received_row_count_; }

 private:
  ReplicaId source(Instant now) const;
  bool expects(const ReplicaId& from, const StateChunk& chunk) const;
  // Parts of a LocalState::Change.
  void stage(std::vector<Row> rows, const StateChunk& chunk, WriteBatch& batch);
  ChunkOutcome finish(const TransferProgress& progress, const TransferEnd& end, WriteBatch& batch);

  LocalState& state_;
  Outbox& outbox_;
  RequestId last_request_id_;
  std::optional<Instant> requested_at_;
  Instant source_since_ = 0;
  ViewNumber caught_up_view_ = 0;
  std::size_t received_row_count_ = 0;
};

}  // namespace pebblespindle::replication
