// The sending side of state transfer: replies to a StateRequest with the rows that the requester lacks, in
// one message if they fit, else with the next chunk of a state.
//
// Chunks have a bounded size, and the receiver asks for each one after it has stored the one before. The
// first chunks hold all rows by key, the later ones the rows that have changed since by sequence number. A
// transfer that began with one source may continue with another one, if the second source's history contains
// the position of the first.
#pragma once
#include <variant>

#include "replication/local_state.h"
#include "replication/submission_queue.h"

namespace pebblespindle::replication {

class StateSender {
 public:
  StateSender(const LocalState& state, const SubmissionQueue& submissions, std::size_t chunk_bytes)
      : state_(state), submissions_(submissions), chunk_bytes_(chunk_bytes) {}

  struct Reply {
    Message message;
    bool complete = false;  // with this message the receiver holds all that this replica holds
  };
  Reply reply_to(const StateRequest& request) const;
  // An Append of all rows after `base`, with the origins of the submissions in flight above it.
  Append append_after(SequenceNumber base, std::vector<Row> rows) const;

 private:
  bool history_contains(const StateRequest& request) const;
  bool can_continue(const TransferProgress& progress, bool receiver_history_known) const;
  Reply next_chunk(const StateRequest& request, bool receiver_history_known) const;

  const LocalState& state_;
  const SubmissionQueue& submissions_;
  const std::size_t chunk_bytes_;
};

}  // namespace pebblespindle::replication
