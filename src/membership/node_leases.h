// The leases of the nodes that hold a link to this controller, and what they have acknowledged.
//
// A node serves traffic only while its lease runs, and it acknowledges with each renewal up to which change
// it holds the state. So a change that all nodes with a lease have acknowledged is in force everywhere: the
// failover waits for that before it promotes (docs/design.md). All calls come from one event loop.
#pragma once
#include <map>
#include <string>

#include "base/types.h"

namespace pebblespindle {

class NodeLeases {
 public:
  explicit NodeLeases(Instant started) : started_(started) {}

  struct Entry {
    std::string zone;
    SequenceNumber acknowledged = 0;
    Instant expires_at = 0;  // by this controller's clock; the node counts from when it asked, so earlier
  };

  // granted: whether this controller may give leases just now; if not, the former one runs on.
  void renew(Instant now, const std::string& node, const std::string& zone, SequenceNumber acknowledged,
             bool granted);
  void remove(const std::string& node) { nodes_.erase(node); }
  void expire(Instant now);

  // The lowest change that every node with a lease has acknowledged; `highest` when there is no node. For one
  // lease after its start a controller does not know what a former process granted, and answers 0.
  SequenceNumber acknowledged_by_all(Instant now, SequenceNumber highest) const;
  std::size_t count(Instant now) const;
  const std::map<std::string, Entry>& nodes() const { return nodes_; }  // by name

 private:
  Instant started_;
  std::map<std::string, Entry> nodes_;
};

}  // namespace pebblespindle
