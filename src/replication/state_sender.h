// What a replica that has said where it stands is sent next: the rows that it lacks in one message where they
// are few, else the next chunk of a state.
//
// A state goes in chunks of bounded size, each asked for once the one before is on the receiver's disk: first
// all rows by key, then what has changed since by sequence number. It may be begun with one source and go on
// with another, if the place where the first one stood is in the history of the second.
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
    bool complete = false;  // the receiver stands where this replica stands once it has it
  };
  Reply reply_to(const StateRequest& request) const;
  // All that follows on a sequence number, with the submissions that are under way above it.
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
