// Submissions at a member of the chain: at the head those that wait to be validated, and at each member those
// in flight, which are answered once they are committed.
//
// The head has one batch in flight at a time; submissions that arrive meanwhile form the next batch, which
// shares one disk sync and one message. The tail acknowledges changes; the head answers refusals and
// submissions that change nothing.
#pragma once
#include <string>
#include <vector>

#include "replication/messages.h"

namespace pebblespindle::replication {

class SubmissionQueue {
 public:
  struct Submission {
    ReplicaId origin;
    RequestId request = 0;
    std::uint64_t attempt = 0;
    Json command;
    Instant received_at = 0;
  };
  struct Reply {
    ReplicaId to;
    SubmitReply reply;
  };

  // Queues a submission. If it is already queued or in flight, only its attempt number is raised.
  void enqueue(Submission submission);
  bool has_queued() const { return !queued_.empty(); }
  std::vector<Submission> take_queued();

  // Called at the head once the submission is validated: it became a change, changes nothing, or was refused.
  // The reply is sent once all rows up to `sequence` are committed.
  void add_change(const Submission& submission, SequenceNumber sequence);
  void add_unchanged(const Submission& submission, SequenceNumber sequence);
  void add_refusal(const Submission& submission, SequenceNumber sequence, Status status);
  // Called at the members behind the head with the origins that came with the rows.
  void add_origins(const std::vector<Origin>& origins);
  void clear_in_flight() { in_flight_.clear(); }
  bool has_in_flight() const { return !in_flight_.empty(); }
  // The origins of the submissions in flight above a sequence number, refused ones excepted.
  std::vector<Origin> origins_after(SequenceNumber sequence) const;
  // Removes all entries up to `committed` and returns the replies that this replica has to send for them.
  std::vector<Reply> take_replies(SequenceNumber committed, bool is_tail);

 private:
  enum class Outcome { kChanged, kUnchanged, kRefused };
  struct InFlight {
    Origin origin;
    Outcome outcome = Outcome::kChanged;
    Status status{};
    std::uint64_t attempt = 0;  // the attempt that is answered
  };
  std::vector<Submission> queued_;
  std::vector<InFlight> in_flight_;
};

}  // namespace pebblespindle::replication
