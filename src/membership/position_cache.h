// Positions of primaries that the nodes of this controller have observed, for nodes that query a service too
// rarely to have a recent position of their own.
//
// An entry states: "every commit acknowledged before time T is at or below position P". T may be too early
// but never too late. Clocks of different processes are never compared; times are only passed along a loop
// that starts and ends at the same clock:
// - The controller sends its time C with each lease grant, which the node receives at its own time G. A node
// that
//   queried the primary at its own time A did so at controller time C + (A - G) or later, and reports that
//   time.
// - A node that requests a position sends its own time R. The controller answers with the age of the entry by
// its
//   own clock. The answer is computed after R, so by the requesting node's clock the primary was queried at
//   R - age or later.
// Delayed, lost and reordered messages only make the reported time earlier. The margin that every read keeps
// (kFreshnessMarginMs) covers differences in clock speed. Times become invalid when the controller that
// issued them restarts, so each report names the incarnation of that process.
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
    Millis age = 0;  // ms, rounded up
  };

  // Records that the primary was queried at `asked_at` or later, by this controller's clock. Returns
  // kInvalidArgument if the time is in the future or the position is empty. A report that is older than the
  // entry changes nothing and is no error.
  Status report(Instant now, const std::string& service, const Position& position, Instant asked_at);
  // Returns nullopt if there is no entry or it is older than kMaxPositionAgeMs.
  std::optional<Answer> find(Instant now, const std::string& service) const;

 private:
  struct Entry {
    Position position;
    std::optional<Instant> asked_at;
  };
  std::map<std::string, Entry> positions_;  // by service
};

}  // namespace pebblespindle
