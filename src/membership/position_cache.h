// Positions of primaries that the nodes of this core have met, for nodes that ask a service too seldom to
// know one of their own.
//
// What is handed on is "every commit acknowledged before time T is at or below position P", and T may only
// err towards the past. Clocks are never compared, only carried around a loop that starts and ends at one of
// them:
//  - a node hears the core's clock C with a grant, at its own time G. The core's clock stood at C or later
//  then, so
//    what it asked at its own time A was asked at core time C + (A - G) or later: that is what it reports;
//  - a node that wants a position sends its own time R. The core answers with the age of what it has, by its
//  clock;
//    R has passed by then, so the position was asked for at R - age or later by the clock of the one that
//    wants it.
// Delay, loss and reordering only make what is handed on older. Steady clocks run alike within the margin
// that every read keeps (kFreshnessMarginMs); a core's stamps die with its process (its life is named with
// each).
#pragma once
#include <map>
#include <string>

#include "base/types.h"
#include "membership/constants.h"
#include "pooler/constants.h"

namespace pebblespindle {

class PositionCache {
 public:
  // stamp: by this core's clock, not later than the position was asked for.
  bool report(Millis now, const std::string& service, Position p, Millis stamp) {
    if (stamp > now || p.none()) return false;  // a figure that cannot be
    auto& d = depths_[service];
    if (p < d.position || stamp <= d.stamp) return true;  // overtaken by another
    d = {p, stamp};
    return true;
  }
  struct Depth {
    Position position;
    Millis age = 0;
  };
  std::optional<Depth> ask(Millis now, const std::string& service) const {
    auto d = depths_.find(service);
    if (d == depths_.end()) return std::nullopt;
    Millis age = now + 1 - d->second.stamp;  // clocks are cut to whole milliseconds
    if (age > kMaxPositionAgeMs) return std::nullopt;
    return Depth{d->second.position, age};
  }

 private:
  struct Stamped {
    Position position;
    Millis stamp = -1;
  };
  std::map<std::string, Stamped> depths_;  // by service
};

}  // namespace pebblespindle
