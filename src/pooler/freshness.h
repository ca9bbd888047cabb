// Positions of a primary, each with a time before which every acknowledged commit is in it.
#pragma once
#include <deque>

#include "base/types.h"
#include "membership/constants.h"
#include "pooler/constants.h"

namespace pebblespindle::pooler {

class Freshness {
 public:
  // The primary's log stood at p at some moment not before `asked`.
  void observe(Millis asked, Position p) {
    if (!seen_.empty() && p < seen_.back().position) return;  // an answer that overtook another
    if (!seen_.empty() && asked < seen_.back().asked + kObservationStepMs) return;
    seen_.push_back({asked, p});
    while (seen_.size() > 1 && seen_.front().asked < asked - kMaxPositionAgeMs) seen_.pop_front();
  }
  // The least demanding position that holds every commit acknowledged more than stale_ms before now.
  std::optional<Position> bound(Millis now, Millis stale_ms) const {
    Millis from = now - stale_ms + kFreshnessMarginMs;
    for (auto& o : seen_)
      if (o.asked >= from) return o.position;
    return std::nullopt;
  }
  void clear() { seen_.clear(); }

 private:
  struct Observation {
    Millis asked;
    Position position;
  };
  std::deque<Observation> seen_;
};

}  // namespace pebblespindle::pooler
