#include "membership/node_leases.h"

#include <algorithm>

#include "base/clock.h"
#include "membership/constants.h"

namespace pebblespindle {

void NodeLeases::renew(Instant now, const std::string& node, const std::string& zone,
                       SequenceNumber acknowledged, bool granted) {
  Entry& entry = nodes_[node];
  entry.zone = zone;
  entry.acknowledged = acknowledged;  // a restarted node starts again from what it holds now
  if (granted) entry.expires_at = now + kNodeLeaseMs + kClockDriftMarginMs;
}

void NodeLeases::expire(Instant now) {
  std::erase_if(nodes_, [&](auto& node) { return node.second.expires_at <= now; });
}

SequenceNumber NodeLeases::acknowledged_by_all(Instant now, SequenceNumber highest) const {
  if (now < started_ + kNodeLeaseMs + kClockDriftMarginMs) return 0;
  SequenceNumber lowest = highest;
  for (auto& [name, entry] : nodes_)
    if (entry.expires_at > now) lowest = std::min(lowest, entry.acknowledged);
  return lowest;
}

std::size_t NodeLeases::count(Instant now) const {
  return std::size_t(
      std::count_if(nodes_.begin(), nodes_.end(), [&](auto& node) { return node.second.expires_at > now; }));
}

}  // namespace pebblespindle
