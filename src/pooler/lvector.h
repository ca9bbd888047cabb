// The L-vector of a service's log: the newest log position that one database or one session has seen.
//
// In full, the vector has an entry per primary, that is per term, and entries are compared from the newest
// term to the oldest. A log at position TERM.NUMBER has a fixed content for every earlier term, so all older
// entries follow from the newest. Only the newest entry is stored; comparing it gives the same lexicographic
// order.
#pragma once
#include "base/types.h"

namespace pebblespindle::pooler {

class LVector {
 public:
  LVector() = default;
  explicit LVector(Position newest) : newest_(newest) {}
  auto operator<=>(const LVector&) const = default;
  const Position& newest() const { return newest_; }
  bool empty() const { return newest_.none(); }
  void raise(Position position) {
    if (position > newest_) newest_ = position;
  }

 private:
  Position newest_;
};

}  // namespace pebblespindle::pooler
