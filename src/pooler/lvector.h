// The L-vector of a service's log, as seen by one database or one session.
//
// An entry per primary, that is per term; entries are compared from the newest term to the oldest.
// A log that stands at TERM.NUMBER has fixed what every earlier term left in it, so all entries below
// the newest follow from the newest: it alone is kept, and comparing it is the lexicographic order.
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
