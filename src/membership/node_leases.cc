#include "membership/node_leases.h"

#include <algorithm>

#include "base/clock.h"
#include "membership/constants.h"

namespace pebblespindle {

void NodeLeases::renew(Millis now, const std::string& node, const std::string& zone, std::uint64_t acked,
                       bool granted) {
  auto& e = nodes_[node];
  e.zone = zone;
  e.acked = acked;  // a restarted node starts again from what it holds now
  if (granted) e.until = now + kNodeLeaseMs + kClockDriftMarginMs;
}

void NodeLeases::expire(Millis now) {
  std::erase_if(nodes_, [&](auto& n) { return n.second.until <= now; });
}

std::uint64_t NodeLeases::acknowledged(Millis now, std::uint64_t all) const {
  if (now < born_ + kNodeLeaseMs + kClockDriftMarginMs) return 0;
  std::uint64_t least = all;
  for (auto& [name, e] : nodes_)
    if (e.until > now) least = std::min(least, e.acked);
  return least;
}

std::size_t NodeLeases::count(Millis now) const {
  return std::size_t(
      std::count_if(nodes_.begin(), nodes_.end(), [&](auto& n) { return n.second.until > now; }));
}

}  // namespace pebblespindle
