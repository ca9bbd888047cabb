// The leases of the nodes that are connected to this controller, and the state that they have acknowledged.
//
// A node serves traffic only while it has a lease, and each renewal carries the sequence number up to which
// the node has applied the state. A change that all nodes with a lease have acknowledged is therefore in
// force everywhere; a failover waits for this before it promotes a database (docs/design.md). Not
// thread-safe: all calls come from one event loop.
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
    Instant expires_at =
        0;  // by this controller's clock; the node's own lease ends earlier, as it counts from its request
  };

  // Records a renewal request. If `granted` is false, because this controller may not grant leases at the
  // moment, the node keeps its earlier expiry time.
  void renew(Instant now, const std::string& node, const std::string& zone, SequenceNumber acknowledged,
             bool granted);
  void remove(const std::string& node) { nodes_.erase(node); }
  void expire(Instant now);

  // Returns the sequence number up to which every node with a lease has acknowledged the state, or `highest`
  // if there is no such node. Returns 0 during the first lease period after the start, because leases that a
  // former process of this controller granted may still be valid.
  SequenceNumber acknowledged_by_all(Instant now, SequenceNumber highest) const;
  // The number of nodes with a lease.
  std::size_t count(Instant now) const;
  const std::map<std::string, Entry>& nodes() const { return nodes_; }  // by name

 private:
  Instant started_;
  std::map<std::string, Entry> nodes_;
};

}  // namespace pebblespindle
