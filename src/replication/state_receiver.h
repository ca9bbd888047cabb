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
  StateReceiver(LocalState& state, Outbox& outbox, RequestId first_request)
      : state_(state), outbox_(outbox), last_request_(first_request) {}

  // Sends a request if one is due. committed: what this replica knows as committed.
  void request_state(Instant now, SequenceNumber committed);
  // The next request is due at once.
  void request_soon() { requested_at_.reset(); }
  void on_new_view(Instant now);
  void on_reload() { learned_view_ = 0; }
  bool answers_last_request(std::optional<RequestId> answers) const {
    return answers && *answers != 0 && *answers == last_request_;
  }
  // A standby holds the state as of the present view. True when that is new.
  bool learn_view();
  ViewNumber learned_view() const { return learned_view_; }
  bool has_learned_view() const { return learned_view_ == state_.view.number; }

  enum class ChunkOutcome {
    kIgnored,
    kMoreWanted,  // the next request is due at once
    kDropped,     // what was received is not a whole state
    kComplete,    // and stored
    kNotStored,   // the disk has refused it
  };
  ChunkOutcome on_chunk(const ReplicaId& from, StateChunk chunk);
  // What was taken with the last complete transfer, for the log.
  std::size_t received_rows() const { return received_rows_; }

 private:
  ReplicaId source(Instant now) const;
  bool expects(const ReplicaId& from, const StateChunk& chunk) const;
  ChunkOutcome finish(const TransferProgress& progress, const TransferEnd& end, WriteBatch batch);

  LocalState& state_;
  Outbox& outbox_;
  RequestId last_request_;
  std::optional<Instant> requested_at_;
  Instant source_since_ = 0;
  ViewNumber learned_view_ = 0;
  std::size_t received_rows_ = 0;
};

}  // namespace pebblespindle::replication
