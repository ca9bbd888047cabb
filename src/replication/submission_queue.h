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
  struct Offer {
    ReplicaId origin;
    RequestId request = 0;
    std::uint64_t attempt = 0;
    Json command;
    Instant at = 0;
  };
  struct Reply {
    ReplicaId to;
    SubmitReply reply;
  };

  // Adds an offer, unless the same one waits or is under way already.
  void offer(Offer offer);
  bool has_waiting() const { return !waiting_.empty(); }
  std::vector<Offer> take_waiting();

  // At the head: the offer became a change, changes nothing, or was refused. `sequence` is what the answer
  // rests on.
  void add_change(const Offer& offer, SequenceNumber sequence);
  void add_unchanged(const Offer& offer, SequenceNumber sequence);
  void add_refusal(const Offer& offer, SequenceNumber sequence, Status status);
  // Behind the head: the origins of changes that came with them.
  void add_origins(const std::vector<Origin>& origins);
  void clear_under_way() { under_way_.clear(); }
  bool has_under_way() const { return !under_way_.empty(); }
  // Origins of changes under way above a sequence number.
  std::vector<Origin> origins_after(SequenceNumber sequence) const;
  // Removes what is answered by a commit up to `committed`, and returns what this replica has to say of it.
  std::vector<Reply> take_replies(SequenceNumber committed, bool is_tail);

 private:
  enum class Outcome { kChanged, kUnchanged, kRefused };
  struct UnderWay {
    Origin origin;
    Outcome outcome = Outcome::kChanged;
    Status status{};
    std::uint64_t attempt = 0;  // that is answered
  };
  std::vector<Offer> waiting_;
  std::vector<UnderWay> under_way_;
};

}  // namespace pebblespindle::replication
