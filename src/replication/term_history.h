// Which head gave which sequence numbers. A sequence number means a change only together with its term:
// numbers of a lost head's suffix are given again, and their terms differ.
#pragma once
#include <vector>

#include "replication/types.h"

namespace pebblespindle::replication {

struct TermStart {
  TermNumber term = 0;
  SequenceNumber first_sequence = 0;  // the first sequence number of the term
  bool operator==(const TermStart&) const = default;
};

class TermHistory {
 public:
  // The term of a sequence number; 0 when it is not known (older than what is kept), and for number 0.
  TermNumber term_of(SequenceNumber sequence) const;
  // Two replicas whose terms of a sequence number agree hold the same rows up to it.
  bool matches(SequenceNumber sequence, TermNumber term) const {
    return sequence == 0 ? term == 0 : term != 0 && term_of(sequence) == term;
  }
  // Sequence numbers from `first` on belong to a new term.
  void record(TermNumber term, SequenceNumber first);
  void record(const std::vector<TermStart>& terms);
  // The terms that begin above a sequence number; all of them for 0.
  std::vector<TermStart> terms_after(SequenceNumber sequence) const;

 private:
  std::vector<TermStart> terms_;  // rising
};

}  // namespace pebblespindle::replication
