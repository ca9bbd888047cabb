// Recent log positions of a primary, each with a time: every commit acknowledged before that time is
// contained in the position.
#pragma once
#include <deque>

#include "base/types.h"
#include "membership/constants.h"
#include "pooler/constants.h"

namespace pebblespindle::pooler {

class Freshness {
 public:
  // Records that the primary's log stood at `position` at some moment not before `requested_at`.
  void observe(Millis requested_at, Position position) {
    if (!observations_.empty() && position < observations_.back().position)
      return;  // answers arrived out of order
    if (!observations_.empty() && requested_at < observations_.back().requested_at + kMinObservationSpacingMs)
      return;
    observations_.push_back({requested_at, position});
    while (observations_.size() > 1 && observations_.front().requested_at < requested_at - kMaxPositionAgeMs)
      observations_.pop_front();
  }
  // Returns the lowest known position that contains every commit acknowledged more than stale_ms before now.
  std::optional<Position> bound(Millis now, Millis stale_ms) const {
    Millis earliest = now - stale_ms + kFreshnessMarginMs;
    for (auto& observation : observations_)
      if (observation.requested_at >= earliest) return observation.position;
    return std::nullopt;
  }
  void clear() { observations_.clear(); }

 private:
  struct Observation {
    Millis requested_at;
    Position position;
  };
  std::deque<Observation> observations_;
};

}  // namespace pebblespindle::pooler
