// The leases of the nodes that hold a link to this core, and what they have acknowledged.
#pragma once
#include <map>
#include <string>

#include "base/types.h"

namespace pebblespindle {

class NodeLeases {
 public:
  explicit NodeLeases(Millis born) : born_(born) {}

  // A node renews; granted tells whether this core may give leases just now.
  void renew(Millis now, const std::string& node, const std::string& zone, std::uint64_t acked, bool granted);
  void left(const std::string& node) { nodes_.erase(node); }
  void expire(Millis now);

  // The lowest change that every node with a lease of this core has acknowledged; `all` when there is none.
  // For one lease after its start a core does not know what it granted before, and answers 0.
  std::uint64_t acknowledged(Millis now, std::uint64_t all) const;
  std::size_t count(Millis now) const;

  struct Entry {
    std::string zone;
    std::uint64_t acked = 0;
    Millis until = 0;
  };
  const std::map<std::string, Entry>& nodes() const { return nodes_; }

 private:
  Millis born_;
  std::map<std::string, Entry> nodes_;
};

}  // namespace pebblespindle
