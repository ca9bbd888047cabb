// Records in which term, and so by which head, each sequence number was assigned. A sequence number
// identifies a change only together with its term: numbers that a failed head assigned to rows that were lost
// with it are assigned again, in another term.
#pragma once
#include <vector>

#include "replication/types.h"

namespace pebblespindle::replication {

struct TermStart {
  TermNumber term = 0;
  SequenceNumber first_sequence = 0;  // the first sequence number assigned in the term
  bool operator==(const TermStart&) const = default;
};

class TermHistory {
 public:
  // The term of a sequence number; 0 for number 0, and if the number is older than the terms that are kept.
  TermNumber term_of(SequenceNumber sequence) const;
  // Whether this history has the given term at the sequence number. If so, both replicas hold the same rows
  // up to it.
  bool matches(SequenceNumber sequence, TermNumber term) const {
    return sequence == 0 ? term == 0 : term != 0 && term_of(sequence) == term;
  }
  // Records that a new term starts at `first`. Terms that started there or later are removed.
  void record(TermNumber term, SequenceNumber first);
  void record(const std::vector<TermStart>& terms);
  // The terms that start above a sequence number; all terms for 0.
  std::vector<TermStart> terms_after(SequenceNumber sequence) const;

 private:
  std::vector<TermStart> terms_;  // in ascending order
};

}  // namespace pebblespindle::replication
