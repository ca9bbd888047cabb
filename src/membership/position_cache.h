// Positions of primaries that the nodes of this controller have met, for nodes that ask a service too seldom
// to know one of their own.
//
// What is handed on is "every commit acknowledged before time T is at or below position P", and T may only
// err towards the past. Clocks are never compared, only carried around a loop that starts and ends at one of
// them:
// - A node hears the controller's clock C with a grant, at its own time G. What it asked at its own time A
// was
//   asked at controller time C + (A - G) or later: that is what it reports.
// - A node that wants a position sends its own time R. The controller answers with the age of what it has, by
// its
//   clock; R has passed by then, so the position was asked for at R - age or later by the clock of who wants
//   it.
// Delay, loss and reordering only make what is handed on older. Steady clocks run alike within the margin
// that every read keeps (kFreshnessMarginMs). Time stamps die with the process that gave them: its
// incarnation is named with each report.
#pragma once
#include <map>
#include <optional>
#include <string>

#include "base/status.h"
#include "base/types.h"

namespace pebblespindle {

class PositionCache {
 public:
  struct Answer {
    Position position;
    Millis age = 0;  // at most
  };

  // asked_at: by this controller's clock, not later than the node asked the primary. kInvalidArgument for a
  // report that cannot be true; one that is overtaken by another is ok and changes nothing.
  Status report(Instant now, const std::string& service, const Position& position, Instant asked_at);
  // None when nothing is known that is young enough for any route.
  std::optional<Answer> find(Instant now, const std::string& service) const;

 private:
  struct Entry {
    Position position;
    std::optional<Instant> asked_at;
  };
  std::map<std::string, Entry> positions_;  // by service
};

}  // namespace pebblespindle
