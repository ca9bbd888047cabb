// Submissions at the replicas of the chain: what was offered to the head and waits, and what is under way and
// will be answered once it is committed.
//
// One batch is under way at a time: what is offered meanwhile shares the next sync and the next message.
// Acknowledgements of changes come from the tail, refusals and "nothing changes" from the head.
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

  // Adds an offer, unless the same one waits or is under way already.
  void enqueue(Submission submission);
  bool has_queued() const { return !queued_.empty(); }
  std::vector<Submission> take_queued();

  // At the head: the offer became a change, changes nothing, or was refused. `sequence` is what the answer
  // rests on.
  void add_change(const Submission& submission, SequenceNumber sequence);
  void add_unchanged(const Submission& submission, SequenceNumber sequence);
  void add_refusal(const Submission& submission, SequenceNumber sequence, Status status);
  // Behind the head: the origins of changes that came with them.
  void add_origins(const std::vector<Origin>& origins);
  void clear_in_flight() { in_flight_.clear(); }
  bool has_in_flight() const { return !in_flight_.empty(); }
  // Origins of changes under way above a sequence number.
  std::vector<Origin> origins_after(SequenceNumber sequence) const;
  // Removes what is answered by a commit up to `committed`, and returns what this replica has to say of it.
  std::vector<Reply> take_replies(SequenceNumber committed, bool is_tail);

 private:
  enum class Outcome { kChanged, kUnchanged, kRefused };
  struct InFlight {
    Origin origin;
    Outcome outcome = Outcome::kChanged;
    Status status{};
    std::uint64_t attempt = 0;  // that is answered
  };
  std::vector<Submission> queued_;
  std::vector<InFlight> in_flight_;
};

}  // namespace pebblespindle::replication
